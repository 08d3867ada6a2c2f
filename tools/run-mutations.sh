#!/usr/bin/env bash
# Checks that each deliberate fault of the lists named (by default
# test/mutations-tickets.txt) makes its test fail, and that the test passes
# without it.
set -euo pipefail
cd "$(dirname "$0")/.."

lists=("$@")
[ "${#lists[@]}" -gt 0 ] || lists=(test/mutations-tickets.txt)
cmake --preset default -B build-mutations -DSYCAMORE_MUTATIONS=ON >/dev/null
cmake --build build-mutations -j "${SYCAMORE_BUILD_JOBS:-3}" >/dev/null
cd build-mutations

survivors=0
while IFS='|' read -r name command _; do
  name="${name// /}"
  read -r -a words <<<"$command"
  if ! "${words[@]}" >/dev/null 2>&1; then
    echo "red without a fault: $name: ${words[*]}"
    survivors=$((survivors + 1))
  elif SYCAMORE_MUTATION="$name" timeout 60 "${words[@]}" >/dev/null 2>&1; then
    echo "not noticed: $name: ${words[*]}"
    survivors=$((survivors + 1))
  else
    echo "noticed: $name"
  fi
done < <(cd .. && grep -hv '^#' "${lists[@]}")
[ "$survivors" -eq 0 ]
