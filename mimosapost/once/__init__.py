"""Tickets for requests that must not be repeated."""
