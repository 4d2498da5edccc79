"""Benchmarks: open-loop load, the naive tier as baseline, and growth of cost with size."""
