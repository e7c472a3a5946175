"""Run the duties that any daemon can take up and lose."""
