#!/bin/sh
# Install a node's code and its dependencies in target/deps, compiled.
set -eu
deps=target/deps
python3 -m pip install --quiet --disable-pip-version-check --upgrade \
    --target "$deps" --requirement deploy/requirements.txt
rm -rf "$deps/comfreywharf"
cp -R comfreywharf "$deps/comfreywharf"
find "$deps" -type d \( -name tests -o -name test \) -prune -exec rm -rf {} +
# Compiled with -OO, as the processes run: without docstrings, a process needs
# 1.5 MB less memory.
python3 -OO -m compileall -q "$deps" || true
