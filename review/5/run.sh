#!/usr/bin/env bash
# The regions lose each other while a tenant asks for more than its limit. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mallowgap ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 quota review/5/record.txt
