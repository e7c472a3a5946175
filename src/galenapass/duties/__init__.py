"""Run the duties that any daemon can acquire and lose."""
