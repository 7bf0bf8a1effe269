#!/bin/sh
# The stand-ins of the third review are plain scripts in lib-3, without a dependency: nothing is
# compiled. This checks that they, and the scripts of the cases, can be read.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
echo "the stand-ins of the third review are ready"
