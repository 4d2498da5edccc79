"""Merging of sub-answers by registered functions."""
