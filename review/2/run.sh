#!/usr/bin/env bash
# Test: "a stream without a length does not look complete when its daemon stops"
# A daemon is stopped with streams open that have no length.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/cached_start.cjs ] || { echo "could not run: not built"; exit 2; }
exec node case.mjs
