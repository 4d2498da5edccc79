"""The reducer, its state and its handlers."""
