#!/usr/bin/env bash
# Connections to a service's backend servers are closed in the middle of their responses. A truncated response must never be
# passed on as a whole one. Each instance has a relay: with only one, calls go to the instances without the relay's latency.
source "$(dirname "$0")/lib/common.sh"
configure_tandas
relays=()
for number in 1 2 3; do
    relay=127.0.0.1:$next_port
    control=127.0.0.1:$((next_port + 1))
    next_port=$((next_port + 2))
    target=${backend_of[aportes-$number]}
    start "relay-$number" "$binaries/standins/chervilpaddle-standin" relay --listen "$relay" --target "$target" --control "$control"
    sed -i "s/^address = $target/address = $relay/" "$work/aportes-$number.ini"
    relays+=("$control")
done
start_tandas
{
    printf '[load]\nseed = 15\n'
    stream ledger aportes.debit 80 0
    stream organisers pagos.instruct 60 0
    printf '[phase all]\nlength = 6s\n'
} >"$work/cut.load"

# limit_answers BYTES: closes every connection, and each later one after so many bytes of responses.
limit_answers() {
    local control
    for control in "${relays[@]}"; do
        http POST "$control" /answer-bytes "$1" >/dev/null
        http POST "$control" /cut >/dev/null
    done
}

start_load cut
pause 1
limit_answers 90
pause 2
limit_answers -1
finish_load cut
show_codes cut
check "no response was truncated or belonged to another request" [ "$(load_count cut foreign)" -eq 0 ]
check "every outcome agrees with the backend servers' records" outcomes_agree cut
check "truncated responses were reported as such" grep -qE '"3005"|"3004"' "$work/load-cut.out"
check "most requests were done" [ "$(load_count cut done)" -gt 400 ]
finish
