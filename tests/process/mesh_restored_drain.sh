#!/usr/bin/env bash
# A backend server drains after the copy from which the store is restored. No request may reach it although the copy shows it ready.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 8 --seed 7 --events restored drain
finish_mesh
for name in "${mesh_names[@]}"; do
    check "the restoration was logged by $name" grep -q '"store restored from a copy"' "$work/node-$name.log"
    check "$name did not believe the entry" grep -q ' 1 leaving,.* 1 unconfirmed' "$work/node-$name.log"
done
finish
