#!/bin/sh
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=review .venv/bin/python -B review/3/case.py
