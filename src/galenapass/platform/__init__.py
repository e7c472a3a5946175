"""Speak with the platform's object API and host list."""
