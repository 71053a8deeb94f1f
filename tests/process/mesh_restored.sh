#!/usr/bin/env bash
# The store is down for a moment and comes back from a copy: it has lost a version of the routes, and gives out revisions again.
# The next version must be in force at all nodes within two seconds, calls must succeed, and no node may call the store in a loop.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 8 --seed 5 --events restored
is_in_force() { # whether all nodes have the last version, of the new era
    local i
    for i in "${!mesh_names[@]}"; do
        http GET "127.0.0.$((11 + i)):$((mesh_port + 4))" /metrics >"$work/metrics" || return 1
        grep -qE '^chervilpaddle_configuration_revision 3' "$work/metrics" || return 1
        grep -qE '^chervilpaddle_store_era 2' "$work/metrics" || return 1
        grep -qE '^chervilpaddle_store_era_changes_total 2' "$work/metrics" || return 1
    done
}
check "all nodes have the last version" until_true 9 is_in_force
finish_mesh
grep -h '"store restored from a copy"' "$work/node-outer-1.log"
check "every request was answered" bash -c "! grep -qE 'no answer|cut' $work/environment.out"
for name in "${mesh_names[@]}"; do
    check "the restoration was logged by $name" grep -q '"store restored from a copy"' "$work/node-$name.log"
    check "no older version was applied by $name" bash -c "! grep -q 'version 1,.*era 2' $work/node-$name.log"
done
finish
