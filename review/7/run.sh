#!/usr/bin/env bash
# A large configuration changes in quick succession. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mallowgap ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 lag review/7/record.txt
