#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start; the daemon itself
# comes from the build of deploy/system.toml. The other stand-ins are Python
# (standard library only).
set -euo pipefail
cd "$(dirname "$0")/.."

python3 -c 'import sys; assert sys.version_info >= (3, 9)'
mkdir -p target/review
g++ -std=c++20 -O2 -o target/review/busy review/standin/busy.cpp
