#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail

packages=(
  g++ cmake ninja-build pkg-config ccache curl python3
  clang-format-14 clang-tidy-14
  libevent-dev libzmq3-dev cppzmq-dev libprotobuf-dev libboost-dev
  libpopt-dev liblog4cxx-dev libexpected-dev nlohmann-json3-dev
  libgtest-dev librapidcheck-dev libxxhash-dev libssl-dev libsodium-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

run=()
if [ "$(id -u)" -ne 0 ]; then
  run=(sudo)
fi
"${run[@]}" apt-get update -q
"${run[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -q --no-install-recommends "${missing[@]}"
