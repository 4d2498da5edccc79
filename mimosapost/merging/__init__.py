"""Registered functions that merge the partial results of leafs into one result."""

from mimosapost.merging import lists, numbers
from mimosapost.merging.registry import Merge, find_merge, list_merges, register_merge

__all__ = ["Merge", "find_merge", "list_merges", "lists", "numbers", "register_merge"]
