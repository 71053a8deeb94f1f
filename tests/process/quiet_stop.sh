#!/usr/bin/env bash
# A planned stop in calm: callers of the stopped node keep their connections and send again when the idle process has just decided to
# exit. A request that reaches a backend server must be answered.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 7 --seed 7 --spare outer-1 --stopped outer-1 --stop-calls quiet
until_true 10 grep -q "stop now" "$work/environment.out" || fail "the environment did not ask for the stop"
begin=$EPOCHREALTIME
stop_process node-outer-1
wait "${pid_of[node-outer-1]}"
check "the stopped node exited with status 0" [ $? -eq 0 ]
milliseconds=$(((${EPOCHREALTIME//[!0-9]/} - ${begin//[!0-9]/}) / 1000))
echo "the stop took $milliseconds ms"
check "the idle node exited early" [ $milliseconds -lt 4500 ]
check "the stop aborted no request" bash -c "! grep -q 'gives up' $work/node-outer-1.log"
finish_mesh
finish
