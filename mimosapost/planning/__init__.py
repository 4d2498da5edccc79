"""Snapshot pinning, replanning and coverage of queries."""
