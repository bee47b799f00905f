#!/usr/bin/env bash
# The stand-ins of review/stand-ins-3 are plain modules of Node, without dependencies:
# nothing has to be compiled. This checks that they and the scripts can be read.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 9/case.mjs 1[0-3]/case.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
