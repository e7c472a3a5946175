"""Access engines and plain services over HTTP."""
