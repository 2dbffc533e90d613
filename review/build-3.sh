#!/usr/bin/env bash
# Prepares the stand-ins of the scripts in review/11 to review/15. They are a Python module without a
# build of its own, so this only checks that it loads; the scripts run the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c "import stand_ins_3"
