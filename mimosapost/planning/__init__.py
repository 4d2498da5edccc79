"""Snapshot pinning, replanning and coverage."""
