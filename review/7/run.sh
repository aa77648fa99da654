#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption. Writes to review/7/record.txt what was sent,
# answered and run. Needs the build of deploy/system.toml and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
record=review/7/record.txt
echo 'the case has not begun' >"$record" || exit 2
if ! [ -x target/teaselpin ] || ! [ -x target/review2 ]; then
	echo 'the case could not run: run the build of deploy/system.toml and review/build-2.sh first' | tee "$record" >&2
	exit 2
fi
target/review2 refusal "$record" &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT
wait "$child"
status=$?
if kill -0 "$child" 2>/dev/null; then # a signal ended the wait; the program ends what it started
	wait "$child"
	status=2
fi
case $status in
0 | 1) exit "$status" ;;
esac
echo "the case could not run: status $status" >>"$record"
exit 2
