#!/usr/bin/env bash
# Checks what the scripts of the cases 4 and later need, after the build of the
# deploy file. Their stand-ins use only Python's standard library and run inside
# the script's own process, so there is nothing to compile or to fetch.
set -euo pipefail
cd "$(dirname "$0")/.."
for path in target/platform/__main__.py target/deps; do
  [ -e "$path" ] || { echo "$path is missing: build the deploy file first"; exit 1; }
done
for source in review/stand_ins.py review/platform_rig.py review/[4-8]/*.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
echo "stand-ins are ready"
