"""Serve the HTTP API for callers."""
