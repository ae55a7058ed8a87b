#!/bin/sh
# The stand-ins are Python with the packages that the deploy file's build installs: only checked here, nothing is built.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -B -c 'import ast, pathlib; [ast.parse(p.read_text()) for p in pathlib.Path("review").rglob("*.py")]'
