"""Implement the commands of the operators' tool."""
