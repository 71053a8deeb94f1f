#!/usr/bin/env bash
# The published list names leaving instances as live for the whole test: after a drain no new work reaches their
# backend servers, whoever asked for it - an operator, the backend server, or the list.
source "$(dirname "$0")/lib/common.sh"
tandas_fleet
start_tandas
{
    printf '[load]\nseed = 13\n'
    stream organisers pagos.instruct 60 3
    stream organisers pagos.status 60 3
    stream ledger aportes.debit 60 3
    printf '[phase all]\nlength = 9s\n'
} >"$work/leave.load"
started() { http GET "${backend_of[$1]}" /record | grep -oE '"totals":\{[^}]*\}'; }
start_load leave
pause 1
"$binaries/apps/chervilpaddle" drain "${operators_of[saldos-1]}" >/dev/null
http POST "${backend_of[aportes-1]}" /control '{"health":"leaving"}' >/dev/null
pause 2.5
before_operator=$(started saldos-1)
before_backend=$(started aportes-1)
sed 's/\("id":"pagos-1".*"state":"\)live"/&/; s/\({"id":"pagos-1"[^}]*"state":\)"live"/\1"leaving"/' "$work/instances.json" >"$work/leaving.json"
http POST "$platform_address" /control/instances "$(cat "$work/leaving.json")" >/dev/null
pause 2.5
before_list=$(started pagos-1)
finish_load leave
show_codes leave
check "no new work after an operator's drain" [ "$(started saldos-1)" = "$before_operator" ]
check "no new work after the backend server's word" [ "$(started aportes-1)" = "$before_backend" ]
check "no new work after the list's word" [ "$(started pagos-1)" = "$before_list" ]
check "no request ended as unknown" [ "$(load_count leave unknown)" -eq 0 ]
check "every outcome agrees with the backend servers' records" judge leave
finish
