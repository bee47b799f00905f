#!/bin/sh
# The stand-ins of the second review are plain modules for Node.js: nothing is compiled or
# installed. This checks that each of them and each script can be parsed.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
echo "the stand-ins of the second review are ready"
