#!/usr/bin/env bash
# Fails when a C++ file differs from what clang-format would write.
# With --fix, rewrites the files instead.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(--dry-run -Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files -co --exclude-standard -- '*.h' '*.cpp' ':!*.pb.h' |
  xargs -r clang-format-14 "${mode[@]}"
