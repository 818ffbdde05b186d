#!/bin/sh
# Checks that the stand-ins of the cases 4 to 8 can run; they need Python 3.11 and nothing else.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.py 4/*.py 5/*.py 6/*.py 7/*.py 8/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
