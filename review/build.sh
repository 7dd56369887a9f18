#!/bin/sh
# The stand-ins are plain JavaScript for Node.js 20: there is nothing to compile, only to check.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs [1-5]/*.mjs extra/*.mjs; do
  node --check "$file" || exit 1
done
