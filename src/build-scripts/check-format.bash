#!/usr/bin/env bash
# Fails when a source file, other than generated code, is not formatted according to .clang-format.
set -euo pipefail
cd "$(dirname "$0")/../.."
git ls-files --cached --others --exclude-standard -- 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' |
  grep -v '/gen-cpp/' | xargs clang-format --dry-run --Werror
