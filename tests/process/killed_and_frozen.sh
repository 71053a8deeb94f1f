#!/usr/bin/env bash
# Nodes are killed, replaced and suspended while callers retry. Calls that are not idempotent must run at most once, and a
# call reported as "not run" must not have run, according to the backend servers' records.
source "$(dirname "$0")/lib/common.sh"
configure_tandas
start_tandas
{
    printf '[load]\nseed = 11\n'
    stream organisers pagos.instruct 60 4
    stream ledger aportes.debit 60 4
    stream phones pagos.status 60 2
    printf '[phase all]\nlength = 8s\n'
} >"$work/faults.load"
start_load faults
pause 1
kill_process node-aportes-1
pause 0.7
start_node aportes-1
stop_process node-pagos-2 STOP
pause 1.5
stop_process node-pagos-2 CONT
stop_process node-aportes-2 STOP
pause 0.8
kill_process node-pagos-3
stop_process node-aportes-2 CONT
pause 0.6
start_node pagos-3
finish_load faults
show_codes faults
pause 1.5
check "every outcome agrees with the backend servers' records" outcomes_agree faults
check "most requests were done" [ "$(load_count faults done)" -gt 700 ]
check "every response belongs to its request" [ "$(load_count faults foreign)" -eq 0 ]
finish
