"""Reach engines and plain services over HTTP."""
