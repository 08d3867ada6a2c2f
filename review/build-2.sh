#!/usr/bin/env bash
# The scripts of review/6 to review/10 start no compiled stand-in: theirs are in
# review/standin-2, for Python 3.11 without further packages. This checks that
# they load.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
python3 -c 'import sys; sys.dont_write_bytecode = True; import mesh'
