#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start besides the programs of the
# deploy file. Their stand-ins are Python programs in review/lib-3 that need
# only the standard library, so this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for file in lib-3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
