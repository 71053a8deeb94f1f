#!/usr/bin/env bash
# A planned stop while backend servers are at work for callers of the node, on requests that outlast its grace period. The callers must
# get an answer, not a closed connection.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 9 --seed 9 --spare outer-1 --stopped outer-1 --stop-calls stuck
stop_when_asked outer-1
check "the node waited for the requests" [ $stop_milliseconds -ge 5000 ]
check "the node exited before the grace period ended" [ $stop_milliseconds -lt 6000 ]
check "the requests that were given up were logged" grep -q '"code":3013' "$work/node-outer-1.log"
finish_mesh
finish
