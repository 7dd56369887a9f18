#!/usr/bin/env bash
# Prepares what the scripts of review/6 to review/10 start. The stand-ins in review/lib-2 are plain
# modules of Node.js and need no build, so they are only checked; the project's own program is built
# by the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
if [ ! -e target/coltsfootpond_scheduler.cjs ]; then
  echo "target/coltsfootpond_scheduler.cjs is missing: run the build of deploy/system.toml first" >&2
  exit 1
fi
