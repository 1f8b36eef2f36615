#!/usr/bin/env bash
# Runs one host on the embedded in-memory platform with a sample upstream, creates
# a team, a key and a route with operator commands, and sends a first request.
# Stops the host and the upstream at the end.
set -euo pipefail
build="${1:-build}"
export ALMONDMOOR_OPERATOR_KEY="${ALMONDMOOR_OPERATOR_KEY:-sample-operator-key}"
almondmoor="$build/Source/almondmoor"

"$build/Tests/almondmoor_stand_in" upstream 127.0.0.1:9001 >/dev/null &
upstream=$!
"$almondmoor" serve --platform=memory --stop_notice_ms=100 &
host=$!
trap 'kill -TERM $host $upstream 2>/dev/null; wait 2>/dev/null' EXIT

until curl -sf http://127.0.0.1:8081/ready >/dev/null; do sleep 0.1; done
"$almondmoor" ctl <<'SESSION'
create service refills floor 60%
create upstream 127.0.0.1:9001 for service refills in local-1 slots 8
create team cooling rate 50/s burst 100
create route /refills to refills teams cooling repeatable
SESSION
key=$("$almondmoor" ctl create key for team cooling | awk '/^key /{print $4}')
curl -si -H "Authorization: Bearer $key" http://127.0.0.1:8080/refills/today
echo
"$almondmoor" ctl show teams
