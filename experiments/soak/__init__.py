"""Run daemons under randomly injected faults and check the system's invariants."""
