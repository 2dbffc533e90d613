#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They are Python scripts and need no build; the programs
# of the deploy file have to be built already.
set -eu
cd "$(dirname "$0")"
test -x ../target/Source/commands/medlaryoke
python3 - stand_ins_2.py [6-9]/case.py 10/case.py <<'END'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
END
