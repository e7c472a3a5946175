"""Serve the operators' port: apply a file, read back what is in force."""
