"""Test the daemon, the tool and the stand-ins."""
