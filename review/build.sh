#!/bin/sh
# Build the stand-ins of the review's scripts, after the build of the deploy file.
# They are Python and use the libraries in target/deps; nothing is installed.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || sh deploy/build.sh
python3 -m compileall -q review/harness comfreywharf_dev/standins
