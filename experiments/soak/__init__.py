"""Run daemons under random faults from outside and check what they promise."""
