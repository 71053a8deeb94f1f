#!/usr/bin/env bash
# All links to two instances stop carrying data while new links work. Calls in flight must move to new links, and none may
# run twice or end with outcome unknown. Later in the load, links are closed.
source "$(dirname "$0")/lib/common.sh"
configure_tandas
# Peers reach aportes-1 and saldos-1 through relays.
relay_control=()
for name in aportes-1 saldos-1; do
    relay=127.0.0.1:$next_port
    control=127.0.0.1:$((next_port + 1))
    next_port=$((next_port + 2))
    start "relay-$name" "$binaries/standins/chervilpaddle-standin" relay --listen "$relay" --target "${peers_of[$name]}" --control "$control"
    instances_json=${instances_json//"${peers_of[$name]}"/$relay}
    relay_control+=("$control")
done
start_tandas
{
    printf '[load]\nseed = 14\n'
    stream organisers pagos.instruct 60 0
    stream organisers pagos.status 60 0
    printf '[phase all]\nlength = 6s\n'
} >"$work/silent.load"
start_load silent
pause 1
for control in "${relay_control[@]}"; do http POST "$control" /silence >/dev/null; done
pause 2
for control in "${relay_control[@]}"; do http POST "$control" /cut >/dev/null; done
finish_load silent
show_codes silent
check "no request ended as unknown" [ "$(load_count silent unknown)" -eq 0 ]
check "no request failed in a called service" [ "$(load_count silent failed)" -eq 0 ]
check "every outcome agrees with the backend servers' records" outcomes_agree silent
finish
