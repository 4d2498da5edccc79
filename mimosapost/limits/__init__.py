"""Concurrency limits shared by instances, slow start, admission queue and send budgets."""
