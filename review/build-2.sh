#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the build of the deploy file. The stand-ins are
# Python files without further packages, so it only checks that this machine's Python takes them.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -B - review/rig/*.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
