"""Exchange membership, load and settings with the other daemons."""
