#!/usr/bin/env bash
# A node starts while the store holds a copy with an older version of the routes. It must take the newer one from its peers.
source "$(dirname "$0")/lib/mesh.sh"
mesh_stop_grace=3
start_mesh --seconds 9 --seed 8 --events restored unwritten

# has_metric PATTERN: whether a metric of outer-1 matches.
has_metric() {
    http GET "127.0.0.11:$((mesh_port + 4))" /metrics >"$work/metrics" && grep -qE "^chervilpaddle_$1" "$work/metrics"
}

until_true 5 has_metric "configuration_revision 2" || fail "the second version was not applied"
stop_process node-outer-1
wait "${pid_of[node-outer-1]}"
until_true 8 grep -q '"store restored from a copy"' "$work/node-outer-3.log" || fail "the store was not restored"
start_mesh_node outer-1
until_true 5 has_metric "store_era 2" || fail "the restarted node did not read the store"
check "the newer version came from a peer" until_true 3 has_metric "configuration_revision 2"
check "its source was logged" grep -q 'version 2,.*taken from peer' "$work/node-outer-1.log"
finish_mesh
finish
