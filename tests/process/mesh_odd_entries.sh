#!/usr/bin/env bash
# Entries of another writer that name no instance come, change and go beside those of the backend servers while a backend server
# drains and a route moves. No node may end, and changes of other entries must still be followed.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 6 --seed 5 --events odd drain route
pause 4
for i in "${!mesh_names[@]}"; do
    http GET "127.0.0.$((11 + i)):$((mesh_port + 4))" /metrics >"$work/metrics-${mesh_names[$i]}"
done
finish_mesh
check "every request was answered" bash -c "! grep -qE 'no answer|cut' $work/environment.out"
for name in "${mesh_names[@]}"; do
    check "$name is still running" kill -0 "${pid_of[node-$name]}"
    check "no handler of $name failed" grep -q '^chervilpaddle_failed_handlers_total 0' "$work/metrics-$name"
    check "$name logged an odd entry" grep -q '"instance entry ignored"' "$work/node-$name.log"
    check "$name logged an entry that was rewritten once" [ "$(grep -c 'servers/rewritten' "$work/node-$name.log")" -eq 1 ]
    check "$name does not quote odd entries" [ "$(wc -L <"$work/node-$name.log")" -lt 1000 ]
done
check "an entry of an unknown service replaces no other" bash -c "! grep -q '\"detail\":\"impostor\"' $work/node-outer-1.log"
finish
