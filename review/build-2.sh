#!/bin/sh
# Builds the stand-ins of the second review: they are plain Python modules of the standard library, so there is nothing to
# compile; the command only checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in stand_ins_2/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
