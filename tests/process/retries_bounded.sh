#!/usr/bin/env bash
# Every hop of a chain fails and callers repeat hard: the backend servers count what arrives.
source "$(dirname "$0")/lib/common.sh"
tandas_fleet
start_tandas
for name in saldos-1 saldos-2 saldos-3; do http POST "${backend_of[$name]}" /control '{"refuse":1.0}' >/dev/null; done
{
    printf '[load]\nseed = 16\n'
    stream organisers pagos.status 40 5
    printf '[phase all]\nlength = 4s\n'
} >"$work/hard.load"
start_load hard
finish_load hard
show_codes hard
# The contract grants two repeats; five caller's repeats get no grant of their own.
arrivals=0
for name in saldos-1 saldos-2 saldos-3; do
    n=$(node_state $name '"arrivals": [0-9]+' | grep -oE '[0-9]+')
    arrivals=$((arrivals + n))
done
requests=$(load_count hard sent)
echo "requests $requests, arrivals at the failing service $arrivals"
check "at most six attempts of the caller and two repeats a request" [ "$arrivals" -le $((requests * 8)) ]
check "no request spent more than its grant" [ "$(grep -oE '"mostRepeats":[0-9]+' "$work/load-hard.out" | grep -oE '[0-9]+$')" -le 2 ]
check "every outcome agrees with the backend servers' records" judge hard --most-starts 18
finish
