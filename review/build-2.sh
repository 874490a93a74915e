#!/usr/bin/env bash
# Builds what the scripts of review/4 and later start besides the controllers. Their stand-ins (review/lib-2) are plain JavaScript
# on Node's standard library, so there is nothing to compile: this checks that they can be read, and that the controllers are built.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/main.js ] || { echo "target/main.js is missing: run the build of deploy/service.toml first" >&2; exit 1; }
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do node --check "$file"; done
