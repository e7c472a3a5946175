#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python that needs no more than what the
# deploy file's command has put under target/deps.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps/galenapass ] || {
    echo "run the build command of deploy/system.toml first" >&2
    exit 2
}
export PYTHONPATH=target/deps:.
python3 -m compileall -q stand_ins review/support_2.py || exit 2
python3 -c "import review.support_2" || exit 2
