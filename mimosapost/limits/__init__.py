"""Limits divided among instances, cold start, admission and budgets."""
