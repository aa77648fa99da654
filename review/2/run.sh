#!/usr/bin/env bash
# Half of the nodes are killed at once, some time after the store turned one away,
# and changes follow. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/teaselpin ] && [ -x target/review-standin ] || { echo 'run the build of the deploy file and review/build.sh first' >&2; exit 2; }
exec timeout -k 2 115 target/review-standin herd review/2/record.txt
