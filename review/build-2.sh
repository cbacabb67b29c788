#!/bin/bash
# The stand-ins of cases 6 to 10 (review/lib-2) are plain JavaScript without packages: only checks that they parse.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-2/*.mjs review/[6-9]/case.mjs review/10/case.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
