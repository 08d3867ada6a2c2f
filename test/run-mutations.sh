#!/usr/bin/env bash
# Runs the commands of a mutation list and fails when one of them passes: then
# no test notices that the rule is broken.
# Usage: test/run-mutations.sh [LIST]
set -uo pipefail
cd "$(dirname "$0")/.."

list="${1:-test/mutations-calls.txt}"
missed=0
while IFS='|' read -r name command effect; do
  case "$name" in ''|'#'*) continue ;; esac
  if bash -fc "$command" >/dev/null 2>&1; then
    echo "not noticed: $name:$effect"
    missed=1
  fi
done < "$list"
[ "$missed" -eq 0 ] && echo "every mutation of $list was noticed"
exit "$missed"
