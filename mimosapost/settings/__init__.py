"""Validation of local and published settings; reports all faults of a document together."""
