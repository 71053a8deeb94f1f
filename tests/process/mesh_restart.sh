#!/usr/bin/env bash
# A backend server drains and a route moves to another service while a node is stopping; the node starts again while the store
# is down. It learns of both from its peers: it must not use the server or the route that were withdrawn in its absence.
source "$(dirname "$0")/lib/mesh.sh"
# Callers go on using a stopping node, so that it takes the whole time it is given. The outage begins 3 s after the load.
mesh_stop_grace=3
start_mesh --seconds 8 --seed 11 --events drain route down

# has_metric PATTERN: whether a metric of outer-1 matches.
has_metric() {
    http GET "127.0.0.11:$((mesh_port + 4))" /metrics >"$work/metrics" && grep -qE "^chervilpaddle_$1" "$work/metrics"
}

stop_process node-outer-1
wait "${pid_of[node-outer-1]}"
until_true 5 grep -q '"platform unreachable"' "$work/node-outer-3.log" || fail "the store was not down"
start_mesh_node outer-1
until_true 5 has_metric "ready 1" || fail "the restarted node did not become ready"
check "the node became ready without the store" has_metric "store_available 0"
check "the configuration came from a peer" has_metric "configuration_revision 2"
pause 2
check "the restarted node served requests" has_metric "requests_served_total [1-9]"
finish_mesh
finish
