#!/bin/sh
# Check the stand-ins of review/6 to review/10. They use the standard library only, and
# nothing is installed.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q tools-2 7 8 9
