#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 exec python3 -m review.2.case
