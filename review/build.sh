#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are plain JavaScript without
# dependencies, so that only their syntax is checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
