"""Stand-ins for the platform, servers and callers, and a harness, for all cases."""
