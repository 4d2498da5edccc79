"""Slot selection, latency statistics, hedging and half-open connection detection."""
