#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing when none is missing.
set -euo pipefail

packages=(
  g++ cmake ninja-build make ccache git python3 clang-format clang-tidy
  libtbb-dev libthrift-dev libboost-dev libboost-log-dev libboost-test-dev libboost-system-dev
  libboost-thread-dev libcxxopts-dev nlohmann-json3-dev libvalijson-dev libxxhash-dev
  libbenchmark-dev librapidcheck-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

echo "installing Debian packages: ${missing[*]}"
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
