#!/usr/bin/env bash
# Checks that each deliberate fault makes its test fail, and that the test
# passes without it. A list has lines of the form
#   name | test command | what it breaks
# Commands run in a build with SYCAMORE_MUTATIONS, in its folder, with the
# environment variable SYCAMORE_MUTATION set to the name.
# Usage: tools/run-mutations.sh [LIST...]
set -euo pipefail
cd "$(dirname "$0")/.."

lists=("$@")
[ "${#lists[@]}" -gt 0 ] || lists=(test/mutations*.txt)
cmake --preset default -B build-mutations -DSYCAMORE_MUTATIONS=ON >/dev/null
cmake --build build-mutations -j "${SYCAMORE_BUILD_JOBS:-4}" >/dev/null
cd build-mutations

# The command without its variables, which switch the fault on.
plain() { printf '%s\n' "$1" | sed -E 's/(^| )[A-Z_]+=[^ ]+//g'; }

noticed=0
missed=0
while IFS='|' read -r name command _; do
  name="${name// /}"
  case "$name" in '' | '#'*) continue ;; esac
  if ! timeout 200 bash -fc "$(plain "$command")" >/dev/null 2>&1; then
    echo "red without a fault: $name: $command"
    missed=$((missed + 1))
  elif SYCAMORE_MUTATION="$name" timeout 200 bash -fc "$command" \
    >/dev/null 2>&1; then
    echo "not noticed: $name: $command"
    missed=$((missed + 1))
  else
    echo "noticed: $name"
    noticed=$((noticed + 1))
  fi
done < <(cd .. && cat "${lists[@]}")
echo "$noticed faults noticed, $missed not"
[ "$missed" -eq 0 ]
