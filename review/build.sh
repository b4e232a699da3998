#!/usr/bin/env bash
# Builds every stand-in that a script starts. They are plain modules without dependencies, so that
# this only checks that Node.js can load them, and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [0-9]/*.js; do node --check "$file"; done
[ -f ../target/platform/main.js ] || { echo 'build the deploy file first' >&2; exit 1; }
