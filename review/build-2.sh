#!/usr/bin/env bash
# Checks what the scripts of review/6 to review/10 start. Their stand-ins are plain JavaScript and
# need no build; the product is what the build command of the deploy file leaves under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/platform/main.js
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
