"""Requests that are passed to backend servers as the caller sent them."""
