#!/bin/sh
# Checks the stand-ins of cases 4 to 8. They are plain modules that need no build and
# no package; none of the project's own stand-ins is used.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
