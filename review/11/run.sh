#!/usr/bin/env bash
# Plays the case torn-entry and writes record.txt beside this script. TROUBLE=0 leaves
# the disruption out. Exit status: 1 broken, 0 held, 2 the case could not run.
set -u
cd "$(dirname "$0")" || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec ../../target/review-3/standins -case torn-entry -program ../../target/teaselpin -record record.txt -trouble=$trouble
