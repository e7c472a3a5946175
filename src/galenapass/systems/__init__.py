"""Make decisions from the tables without I/O; callers pass time and randomness."""
