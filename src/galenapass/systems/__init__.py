"""Decide over the tables, without I/O: time and randomness are passed in."""
