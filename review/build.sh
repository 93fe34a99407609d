#!/bin/sh
# Checks the stand-ins of the cases. They are Python programs without dependencies and need no build.
set -eu
cd "$(dirname "$0")"
python3 -B - common/mesh.py ./*/case.py <<'CHECK'
import ast
import sys
import tomllib  # noqa: F401

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
