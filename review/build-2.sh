#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of deploy/balancer.toml: the stand-ins are Python and need
# their byte code only. Ends with an error if one of them can't be loaded.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q petrelwood/standins petrelwood/emulate petrelwood/links
for file in review/harness2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
.venv/bin/python -B -c 'import sys; sys.path.insert(0, "review"); import harness2; import petrelwood.standins.broker'
