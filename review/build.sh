#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain JavaScript modules for Node.js 20 without dependencies, so they are only checked;
# none of the project's own stand-ins is used.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [123]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
