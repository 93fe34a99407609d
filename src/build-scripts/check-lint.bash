#!/usr/bin/env bash
# Runs clang-tidy over the given files, by default over all sources except generated code.
# Skips a file that passed before with the same preprocessed text, .clang-tidy and version of
# clang-tidy; CAMPHOR_LINT_CACHE names the folder that records passed files.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=build/release
cache=${CAMPHOR_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/camphortally-lint}
jobs=${CAMPHOR_JOBS:-$(nproc)}
mkdir -p "$cache" "$build/lint"
# clang-tidy cannot read a precompiled header of GCC.
sed 's/-Winvalid-pch -include [^ ]*cmake_pch.hxx//g' "$build/compile_commands.json" \
  >"$build/lint/compile_commands.json"

lint_file() {
  file=$1
  key=$( (cat .clang-tidy; clang-tidy --version
          python3 src/build-scripts/preprocess.py "$2" "$file") | sha256sum | cut -d' ' -f1)
  [ -e "$3/$key" ] && return 0
  clang-tidy --quiet -p "$2" "$file" 2>/dev/null || { echo "lint failed: $file"; return 1; }
  touch "$3/$key"
}
export -f lint_file

if [ $# -gt 0 ]; then
  printf '%s\n' "$@"
else
  git ls-files --cached --others --exclude-standard -- 'src/*.cpp' 'platform/*.cpp' | grep -v '/gen-cpp/'
fi | xargs -P "$jobs" -I{} bash -c 'lint_file "$@"' _ {} "$build/lint" "$cache"
