"""Parse and check the daemon's settings and the operators' file."""
