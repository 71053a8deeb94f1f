#!/usr/bin/env bash
# Requests of low worth exceed the capacity several times, at the entry and at the called service. Payout instructions must
# still be served.
source "$(dirname "$0")/lib/common.sh"
configure_tandas 4
cat >"$work/slow.ini" <<EOF
[pagos.instruct]
service_time = 5ms
calls = saldos.read, aportes.debit
[pagos.status]
service_time = 5ms
calls = saldos.read
[saldos.read]
service_time = 20ms
[aportes.debit]
service_time = 5ms
EOF
behaviour_file=$work/slow.ini
start_tandas
# saldos can do 3 * 4 / 20 ms = 600 reads a second.
{
    printf '[load]\nseed = 17\n'
    stream organisers pagos.instruct 30 0
    stream phones pagos.status 600 0
    stream phones saldos.read 1200 0
    printf '[phase all]\nlength = 6s\n'
} >"$work/shed.load"
start_load shed
finish_load shed
show_codes shed
row=$(grep -oE '\{[^{}]*\{[^}]*\}[^{}]*"stream":"organisers.pagos.instruct"[^}]*\}' "$work/load-shed.out")
sent=$(grep -oE '"sent":[0-9]+' <<<"$row" | cut -d: -f2)
done_in_time=$(grep -oE '"doneInTime":[0-9]+' <<<"$row" | cut -d: -f2)
echo "payout instructions: $done_in_time of $sent in time; all: $(load_count shed done) of $(load_count shed sent)"
check "at least 999 of 1000 payout instructions were served" [ $((done_in_time * 1000)) -ge $((sent * 999)) ]
check "work of lower worth was shed" [ "$(load_count shed notRun)" -gt 1000 ]
check "every outcome agrees with the backend servers' records" outcomes_agree shed
finish
