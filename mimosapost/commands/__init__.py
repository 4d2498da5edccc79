"""Subcommands of the console script ``mimosapost``."""
