#!/usr/bin/env bash
# Connections to a backend server are closed in the middle of its responses. A truncated response must never be passed on
# as a whole one.
source "$(dirname "$0")/lib/common.sh"
configure_tandas
relay=127.0.0.1:$next_port
control=127.0.0.1:$((next_port + 1))
target=${backend_of[aportes-1]}
start relay "$binaries/standins/chervilpaddle-standin" relay --listen "$relay" --target "$target" --control "$control"
sed -i "s/^address = $target/address = $relay/" "$work/aportes-1.ini"
start_tandas
{
    printf '[load]\nseed = 15\n'
    stream ledger aportes.debit 80 0
    stream organisers pagos.instruct 60 0
    printf '[phase all]\nlength = 6s\n'
} >"$work/cut.load"
start_load cut
pause 1
http POST "$control" /answer-bytes 90 >/dev/null
http POST "$control" /cut >/dev/null
pause 2
http POST "$control" /answer-bytes -1 >/dev/null
http POST "$control" /cut >/dev/null
finish_load cut
show_codes cut
check "no response was truncated or belonged to another request" [ "$(load_count cut foreign)" -eq 0 ]
check "every outcome agrees with the backend servers' records" outcomes_agree cut
check "truncated responses were reported as such" grep -qE '"3005"|"3004"' "$work/load-cut.out"
check "most requests were done" [ "$(load_count cut done)" -gt 400 ]
finish
