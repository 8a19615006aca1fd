#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
ROOT="$(cd ../.. && pwd)"
export ROOT
[ -x "$ROOT/target/review/release/surplus" ] || exit 2
exec timeout -k 5 110 "$ROOT/target/review/release/surplus" .
