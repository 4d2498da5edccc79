"""Event reducer of an instance: its state and its event handlers."""
