"""Small stand-ins for backend servers and the platform."""
