"""Serve the operators' interface: apply a configuration file and read the state."""
