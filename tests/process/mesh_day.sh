#!/usr/bin/env bash
# The whole path over plain HTTP on real nodes: a backend server leaves, a route moves to another service, the store loses
# its history, holds an entry that cannot be read, and is away for two seconds. No promise is broken and most is served.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 7 --seed 3 --events drain route history down
pause 3
http GET "127.0.0.11:$((mesh_port + 4))" /metrics >"$work/metrics"
finish_mesh
check "latencies are served as histograms" grep -qE 'chervilpaddle_request_seconds_bucket\{outcome="served",le="\+Inf"\} [1-9]' "$work/metrics"
check "every request was answered" bash -c "! grep -qE 'no answer|cut' $work/world.out"
check "the entry that cannot be read was logged" grep -q '"instance entry ignored"' "$work/node-outer-1.log"
check "the lost store was logged" grep -q '"the platform does not answer"' "$work/node-outer-1.log"
finish
