#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of deploy/system.toml and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/teaselpin ] && [ -x target/review2 ] || exit 2
exec target/review2 refusal review/7
