"""Sockets, clocks and random numbers around the reducer."""
