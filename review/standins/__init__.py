"""Stand-ins for the platform, backend servers and callers, and a harness for the cases."""
