#!/usr/bin/env bash
# Runs clang-tidy over the sources named, or over all of them.
set -euo pipefail
cd "$(dirname "$0")/.."

files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files -co --exclude-standard -- \
    'src/*.cpp' 'platform/*.cpp' 'tools/*.cpp' 'standin/*.cpp')
fi
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy-14 -p build --quiet 2> >(grep -v 'warnings generated' >&2)
echo "linter: ${#files[@]} files clean"
