#!/usr/bin/env bash
# A planned stop whose node gets requests until its end, some of which take longer than it has left, while the backend server beside it
# has runs in progress that still make calls. Each request that reaches a backend server must be answered.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 9 --seed 8 --spare outer-1 --stopped outer-1 --stop-calls late
stop_when_asked outer-1
check "the node exited before the grace period ended" [ $stop_milliseconds -lt 6000 ]
check "the stop aborted no request" bash -c "! grep -q 'gives up' $work/node-outer-1.log"
finish_mesh
finish
