#!/bin/sh
# The stand-ins of review/11 to review/13 are plain modules in review/lib-3; nothing has to be
# compiled. This checks that all of them can be read. The system itself is built by the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 11/case.mjs 12/case.mjs 13/case.mjs; do
  node --check "$file"
done
