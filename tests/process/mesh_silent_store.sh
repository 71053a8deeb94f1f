#!/usr/bin/env bash
# All open connections to the store become silent, then a backend server drains, another is removed and a route moves to another service.
# Guards against requests that still reach them three seconds after the silence.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 7 --seed 11 --events silent drain removal route
pause 5
cat "$work"/node-*.log >"$work/logs"
finish_mesh
check "the silence was logged" grep -q '"platform did not answer in time"' "$work/logs"
check "the silence was not taken for an outage" bash -c "! grep -q '\"platform unreachable\"' $work/logs"
finish
