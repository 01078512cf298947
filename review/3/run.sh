#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption, and must pass: the targets begin to drain once the host has started and settled.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] && [ -x target/magnoliahill ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/case-3 review/3/record.txt
