#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the daemon of the deploy
# file. Their stand-ins are in Python, of its standard library alone, so this
# only checks that they compile. Needs Python 3.9 or later.
set -euo pipefail
cd "$(dirname "$0")"
python3 - harness_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PY'
import sys

if sys.version_info < (3, 9):
    sys.exit("needs Python 3.9 or later")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
print("stand-ins: ok")
PY
