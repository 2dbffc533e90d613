#!/usr/bin/env bash
# Prepares the stand-ins of the scripts in review/11 to review/15. They are Python modules without a
# build of their own, so this only checks that they load; the scripts run the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for stand_in in standins_3/*.py; do
  python3 -B -c "import runpy; runpy.run_path('$stand_in')"
done
