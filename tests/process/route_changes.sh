#!/usr/bin/env bash
# Routes move to another service, are dropped and come back every 50 ms while their requests wait, two nodes stand still for 90 ms
# now and then, as with a processor allowance, and one node is stopped. Each request gets an answer, whatever is in force by then.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 7 --seed 24 --rate 400 --events changes drain --spare outer-2 --stopped outer-2 --stop-calls late
for round in {1..12}; do
    for name in outer-1 inner-1; do stop_process "node-$name" STOP; done
    pause 0.09
    for name in outer-1 inner-1; do stop_process "node-$name" CONT; done
    pause 0.15
done &
stop_when_asked outer-2
wait $!
finish_mesh
check "every request was answered" bash -c "! grep -qE 'no answer|cut' $work/environment.out"
check "the versions were applied" [ "$(grep -c '"configuration applied"' "$work/node-outer-1.log")" -gt 50 ]
check "no node cut a request" bash -c "! grep -q 'ended before the response' $work/node-*.log"
finish
