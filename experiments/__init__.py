"""Demo, load tool, measurements and soak test of the system."""
