#!/usr/bin/env bash
# Test: "a resumed stream that fails comes to an end"
# A runner crashes, while others fail part of their requests.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/cached_start.cjs ] || { echo "could not run: not built"; exit 2; }
exec node case.mjs
