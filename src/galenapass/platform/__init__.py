"""Adapter to the platform: object API, metadata store, runners and settings."""
