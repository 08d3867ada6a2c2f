#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and later start. They are
# Python modules, so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11"'
PYTHONDONTWRITEBYTECODE=1 python3 - standin-3/*.py <<'PYTHON'
import sys

for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
PYTHON
