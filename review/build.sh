#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python, so this compiles and loads
# them. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review standins
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c 'import review.workers, standins.tables'
