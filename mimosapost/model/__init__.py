"""Frozen data types that the other packages share."""
