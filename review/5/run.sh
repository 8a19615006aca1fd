#!/usr/bin/env bash
# Plays the case on loopback; see claim.txt. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
for program in target/release/scalewood-platform target/review-2/release/review-2; do
    if [ ! -x "$program" ]; then
        echo "the case can't run: $program is missing; build with the deploy file and review/build-2.sh"
        exit 2
    fi
done
exec target/review-2/release/review-2 stop review/5/record.txt
