#!/usr/bin/env bash
# The last service of a chain refuses every call and callers retry. The number of calls that arrive there must stay bounded.
source "$(dirname "$0")/lib/common.sh"
configure_tandas
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
# The contract allows two retries for each request; the caller's five retries get no allowance of their own.
arrivals=0
for name in saldos-1 saldos-2 saldos-3; do
    n=$(node_state $name '"arrivals": [0-9]+' | grep -oE '[0-9]+')
    arrivals=$((arrivals + n))
done
requests=$(load_count hard sent)
echo "requests $requests, arrivals at the failing service $arrivals"
check "at most six attempts by the caller and two retries for each request" [ "$arrivals" -le $((requests * 8)) ]
check "no request spent more than its retry allowance" [ "$(grep -oE '"mostRepeats":[0-9]+' "$work/load-hard.out" | grep -oE '[0-9]+$')" -le 2 ]
check "every outcome agrees with the backend servers' records" outcomes_agree hard --most-starts 18
finish
