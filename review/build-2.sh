#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-standin-2 ./review/standin2
