#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
exec .venv/bin/python -B review/play.py "$here"
