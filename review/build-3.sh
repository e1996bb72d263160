#!/bin/sh
# Builds the stand-ins of the third review. They are Python files of the standard library
# without a build step, so this checks only that each can be compiled.
set -e
cd "$(dirname "$0")"
for file in standins_3.py 1[1-5]/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
