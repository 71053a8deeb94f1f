#!/usr/bin/env bash
# Plain HTTP on real nodes under load: one node gets SIGHUP and then SIGTERM while callers go on using their open connections
# to it, another is killed and comes back. The stop cuts nothing off; no promise is broken.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 9 --seed 5 --spare inner-2
pause 1
stop_process node-outer-1 HUP
pause 0.5
stop_process node-outer-1
stop_process node-inner-2 KILL
wait "${pid_of[node-inner-2]}" 2>/dev/null
start_mesh_node inner-2
wait "${pid_of[node-outer-1]}"
check "the stopped node ended well" [ $? -eq 0 ]
check "the stop gave nothing up" bash -c "! grep -q 'gives up' $work/node-outer-1.log"
check "SIGHUP was logged" grep -q '"settings reloaded"' "$work/node-outer-1.log"
start_mesh_node outer-1
finish_mesh
finish
