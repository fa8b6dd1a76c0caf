#!/bin/sh
# Builds the stand-ins of review/6 and later: they are Python, so this compiles
# and loads them. Needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/deployment2.py standins
PYTHONPATH="target/deps:." python3 -c 'import standins.tables, review.deployment2'
