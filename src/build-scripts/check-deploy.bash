#!/usr/bin/env bash
# Builds by the deploy file's own command in a clean checkout and starts what it built against the
# stand-ins.
set -euo pipefail
cd "$(dirname "$0")/../.."
# The stand-in is not part of what the deploy file builds.
store=$PWD/build/release/bin/standin_platform
checkout=$(mktemp -d)
trap 'rm -rf "$checkout"' EXIT
git ls-files -z --cached --others --exclude-standard -- . ':!journal' |
  xargs -0 cp --parents -t "$checkout"
cd "$checkout"
command=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
bash -c "$command" >build.log 2>&1 || { tail -30 build.log; exit 1; }
python3 testsuite/sidecar/run.py target/bin/camphord "$store"
