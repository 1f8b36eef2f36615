#!/usr/bin/env bash
# A request crashes the endpoints that run it, and the machines are restarted in turn: rule BUDGET.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disturbance out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/Source/almondmoor ] && [ -x target/review-2/crash_case ] || exit 2
# timeout makes a process group of its own, which all processes of the case belong to.
timeout -k 5 110 target/review-2/crash_case restarts review/10/record.txt &
group=$!
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null
[ "$code" -le 2 ] && exit "$code"
exit 2
