"""Immutable data types shared by the other packages."""
