#!/usr/bin/env bash
# Settings files change in quick succession while nodes serve plain HTTP: every node gets SIGHUP each 100 ms, and every third
# file of outer-1 is invalid. No request may fail for it; an invalid file is reported with its line and changes nothing.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 5 --seed 21
valid=$(<"$work/outer-1.ini")
invalid=${valid/level = info/level = loud}
line=$(grep -n '^level' "$work/outer-1.ini" | cut -d: -f1)
for round in {1..40}; do
    printf '%s\n' "$([ $((round % 3)) -eq 0 ] && echo "$invalid" || echo "$valid")" >"$work/outer-1.ini"
    for name in "${mesh_names[@]}"; do stop_process "node-$name" HUP; done
    pause 0.1
done
finish_mesh
check "every request was answered" bash -c "! grep -qE 'no answer|cut|no connection' $work/environment.out"
check "valid files were applied" [ "$(grep -c '"settings reloaded"' "$work/node-outer-1.log")" -gt 10 ]
check "invalid files were reported with their line" grep -qE "\"settings not reloaded\".*outer-1.ini:$line|outer-1.ini:$line.*\"settings not reloaded\"" "$work/node-outer-1.log"
check "no node ended" bash -c "! grep -q '\"node stopped\"' $work/node-*.log"
finish
