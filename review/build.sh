#!/bin/sh
# Prepares the review's cases after the build of the deploy file. Their stand-ins, and the project's own that they
# start (the shared store), are Python on what that build has installed; nothing is fetched.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "build the deploy file first" >&2; exit 1; }
.venv/bin/python -m compileall -q review/common review/1 review/2 review/3 cresstray || exit 1
exec env PYTHONPATH=review .venv/bin/python -c "import common.stands, cresstray.emulators.store"
