#!/bin/sh
# Compiles the stand-ins of the review; they use Python's standard library only.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q lib
for case in [0-9]*/; do
  if [ -f "$case/play.py" ]; then python3 -m py_compile "$case/play.py"; fi
done
