#!/bin/sh
# Checks what the scripts of the second review need besides the build of the deploy file. Their
# stand-ins are Python sources of this folder (common-2/standins.py); there is nothing to compile.
set -eu
cd "$(dirname "$0")"
python3 -c 'import asyncio, sys, tomllib; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile common-2/standins.py
for case in 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
  python3 -m py_compile "$case"
done
