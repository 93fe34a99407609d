#!/usr/bin/env bash
# Fails when a source file is not formatted as .clang-format says. Generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/../.."
git ls-files --cached --others --exclude-standard -- 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' |
  grep -v '/gen-cpp/' | xargs clang-format --dry-run --Werror
