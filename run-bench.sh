#!/usr/bin/env bash
# Measures the four measures of the design page, product beside baseline, and writes
# build/bench-report.md. Takes under 10 minutes, with --quick under 2.
# Usage: ./run-bench.sh [--quick]
set -euo pipefail
cd "$(dirname "$0")"

quick=()
case "${1:-}" in
  "") ;;
  --quick) quick=(--quick); export SYCAMORE_BENCH_QUICK=1 ;;
  *) echo "usage: ./run-bench.sh [--quick]" >&2; exit 2 ;;
esac

tools/install-packages.sh
cmake --preset default >/dev/null
cmake --build --preset default | tail -1

report=build/bench-report.md
{
  echo "# Measurements"
  echo
  echo "Machine: $(nproc) cores. Times are ratios within one run; machines differ."
  echo
  echo "## Decision code over a simulated clock: crest, head-of-line blocking, tail, nested calls"
  echo
  build/bin/decision-bench "${quick[@]}"
  echo
  echo "## Fleet of the decision code: spread of tickets, control bytes, store calls"
  echo
  echo '```'
  if [ "${#quick[@]}" -eq 0 ]; then
    build/test/FleetPerformanceTest | grep -v '^\[' || true
    build/test/StoreCallsTest | grep -v '^\[' || true
  else
    echo "left out by --quick"
  fi
  echo '```'
  echo
  echo "## Real processes on loopback"
  echo
  build/test/RealFleetBench | grep '^|' || true
} >"$report"
echo "wrote $report"
