#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript and need no build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
