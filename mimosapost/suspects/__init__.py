"""Detection and refusal of requests that crash backend servers."""
