#!/usr/bin/env bash
# Runs the case and writes record.txt beside this script. Exit code: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] || { echo "cannot run: build with review/build.sh first" >&2; exit 2; }
exec target/review/cases lost-capacity review/1
