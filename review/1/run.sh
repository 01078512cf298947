#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption, and must pass: targets reject no upload early.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-1 ] && [ -x target/magnoliahill ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/case-1 review/1/record.txt
