#!/usr/bin/env bash
# Every instance of two services is stopped and restarted in turn under load, with call chains in flight. No request may be
# aborted or end with outcome unknown.
source "$(dirname "$0")/lib/common.sh"
export CHERVILPADDLE_LOG_LEVEL=debug
configure_tandas
start_tandas
{
    printf '[load]\nseed = 12\n'
    stream organisers pagos.instruct 60 3
    stream organisers pagos.status 60 3
    stream ledger aportes.debit 40 3
    printf '[phase all]\nlength = 9s\n'
} >"$work/roll.load"
start_load roll
pause 1
for name in pagos-1 aportes-1 pagos-2 aportes-2 pagos-3 aportes-3; do
    stop_process "node-$name"
    wait "${pid_of[node-$name]}"
    check "node $name exited with status 0" [ $? -eq 0 ]
    check "node $name aborted no request" bash -c "! grep -q 'gives up' $work/node-$name.log"
    start_node "$name"
    pause 0.6
done
finish_load roll
show_codes roll
for request in $(grep -E ' 1001 | unknown ' "$work/roll.requests" | cut -d' ' -f1 | head -n 5); do
    grep -h "\"$request\"" "$work"/node-*.log | sort | cut -c1-250
done
check "no request ended as unknown" [ "$(load_count roll unknown)" -eq 0 ]
check "no request failed in a called service" [ "$(load_count roll failed)" -eq 0 ]
check "every outcome agrees with the backend servers' records" outcomes_agree roll
check "most requests were done" [ "$(load_count roll done)" -gt 1000 ]
finish
