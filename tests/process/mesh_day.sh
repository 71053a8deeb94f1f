#!/usr/bin/env bash
# Changes and faults while nodes serve plain HTTP: a backend server drains, a route moves to another service, the store
# loses its history, holds a malformed entry and is down for two seconds. No guarantee may be violated, and at least 90 %
# of the requests must be served.
source "$(dirname "$0")/lib/mesh.sh"
start_mesh --seconds 7 --seed 3 --events drain route history down
pause 3
http GET "127.0.0.11:$((mesh_port + 4))" /metrics >"$work/metrics"
exec {caller}<>/dev/tcp/127.0.0.11/$((mesh_port + 1))
printf 'GET /unknown/ HTTP/1.1\r\nHost: h\r\nRequest-Id: idle-time\r\n\r\n' >&"$caller"
while IFS= read -r -t 5 line <&"$caller" && [ "$line" != $'\r' ]; do echo "${line%$'\r'}"; done >"$work/head"
exec {caller}>&-
finish_mesh
check "clients are told the idle time that the configuration allows" grep -qx 'Keep-Alive: timeout=150' "$work/head"
check "latencies are served as histograms" grep -qE 'chervilpaddle_request_seconds_bucket\{outcome="served",le="\+Inf"\} [1-9]' "$work/metrics"
check "every request was answered" bash -c "! grep -qE 'no answer|cut' $work/environment.out"
check "the malformed entry was logged" grep -q '"instance entry ignored"' "$work/node-outer-1.log"
check "the store outage was logged" grep -q '"platform unreachable"' "$work/node-outer-1.log"
finish
