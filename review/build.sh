#!/bin/sh
# Builds what the scripts start beside the deployed program: the stand-ins, which are
# Python modules and run with the libraries of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q stand_ins experiments review
