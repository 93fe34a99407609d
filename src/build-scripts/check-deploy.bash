#!/usr/bin/env bash
# Builds camphord in a clean checkout with the build command of deploy/system.toml and runs the
# sidecar case with it.
set -euo pipefail
cd "$(dirname "$0")/../.."
# The build command of the deploy file does not build the stand-in.
standin_platform=$PWD/build/release/bin/standin_platform
checkout=$(mktemp -d)
trap 'rm -rf "$checkout"' EXIT
git ls-files -z --cached --others --exclude-standard -- . ':!journal' |
  xargs -0 cp --parents -t "$checkout"
cd "$checkout"
build_command=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
bash -c "$build_command" >build.log 2>&1 || { tail -30 build.log; exit 1; }
python3 testsuite/sidecar/run.py target/bin/camphord "$standin_platform"
