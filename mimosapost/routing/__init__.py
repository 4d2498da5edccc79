"""Choice of slots: eligibility, latency, hedging and connection silence."""
