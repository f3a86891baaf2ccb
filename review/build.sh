#!/bin/sh
# Builds what the scripts start beside the deploy file's build. The stand-ins
# are Python, of the packages that the tests need too: they are only checked.
set -e
cd "$(dirname "$0")"
for source in standins.py */case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
test -x ../target/laburnumdyked || {
  echo "build target/laburnumdyked first, as the deploy file says" >&2
  exit 1
}
