#!/usr/bin/env bash
# Checks the stand-ins, which are Python programs: they need no build, only the standard library.
# The scripts run the project's program from target/, as the deploy file builds it.
set -euo pipefail
cd "$(dirname "$0")"
python3 - stand_ins.py */run.py <<'CHECK'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
CHECK
