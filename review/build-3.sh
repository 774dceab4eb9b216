#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start besides the program of the deploy file. Their
# stand-ins are Python 3.11 with its standard library, so only their syntax is checked.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 is needed")'
for f in lib-3/*.py 1[1-5]/*.py trials-3/*/*.py; do
  [ -e "$f" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f"
done
