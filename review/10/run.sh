#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# Writes record.txt beside itself: what was sent, answered and run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
exec env PYTHONPATH="$here/../rig" .venv/bin/python -B "$here/case.py"
