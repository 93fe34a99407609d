#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. All of them are Python programs in review/common-3,
# which need no build and only the standard library; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.path.insert(0, "review/common-3"); sys.dont_write_bytecode = True; import mesh'
