"""Open-loop load, the naive tier and slopes."""
