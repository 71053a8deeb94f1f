#!/usr/bin/env bash
# A drain by an operator, by the backend server or by the instance list. No new work may reach the backend server after it,
# even while the published list still names the instance as live.
source "$(dirname "$0")/lib/common.sh"
configure_tandas
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
check "no new work after the backend server reported that it is leaving" [ "$(started aportes-1)" = "$before_backend" ]
check "no new work after the instance list reported that it is leaving" [ "$(started pagos-1)" = "$before_list" ]
check "no request ended as unknown" [ "$(load_count leave unknown)" -eq 0 ]
check "every outcome agrees with the backend servers' records" outcomes_agree leave
finish
