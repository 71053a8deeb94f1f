#!/usr/bin/env bash
# A planned stop in calm: callers of the stopped node keep their connections and send again when the idle process has just decided to
# exit. A request that reaches a backend server must be answered.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 7 --seed 7 --spare outer-1 --stopped outer-1 --stop-calls quiet
stop_when_asked outer-1
check "the idle node exited early" [ $stop_milliseconds -lt 4500 ]
check "the stop aborted no request" bash -c "! grep -q 'gives up' $work/node-outer-1.log"
finish_mesh
finish
