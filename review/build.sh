#!/usr/bin/env bash
# The stand-ins are Python and use the standard library only: nothing is
# installed. Compiling them shows that this interpreter can load them.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" python3 -m compileall -q review
