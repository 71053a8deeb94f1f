#!/usr/bin/env bash
# Stopping nodes that serve plain HTTP under load: one node gets SIGHUP and then SIGTERM while callers keep using their
# connections to it, another is killed and restarted. The stop must not abort any request or violate a guarantee.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 9 --seed 5 --spare inner-2
pause 1
stop_process node-outer-1 HUP
pause 0.5
stop_process node-outer-1
kill_process node-inner-2
start_mesh_node inner-2
wait "${pid_of[node-outer-1]}"
check "the stopped node exited with status 0" [ $? -eq 0 ]
check "the stop aborted no request" bash -c "! grep -q 'gives up' $work/node-outer-1.log"
check "SIGHUP was logged" grep -q '"settings reloaded"' "$work/node-outer-1.log"
start_mesh_node outer-1
finish_mesh
finish
