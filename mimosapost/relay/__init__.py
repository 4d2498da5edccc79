"""Reverse proxy core: forwards requests to backend servers as the caller sent them."""
