#!/usr/bin/env bash
# Random bytes, oversized requests and slow senders on every listening address. The worst allowed result is an error and a
# closed connection; valid calls must still succeed.
source "$(dirname "$0")/lib/common.sh"
configure_tandas
start_tandas
node=saldos-1
call() { "$binaries/apps/chervilpaddle" call "${callers_of[$node]}" phones saldos.read --body x >/dev/null 2>&1; }
send() { # ADDRESS: sends standard input and prints the start of the response
    (exec 8<>"/dev/tcp/${1%:*}/${1##*:}" && cat >&8 && timeout 5 cat <&8 | head -c 300) 2>/dev/null
}
check "calls work" until_true 10 call
RANDOM=20261204
noise() { local i; for ((i = 0; i < 400; i++)); do printf "\\x$(printf %02x $((RANDOM % 256)))"; done; }
for address in "${callers_of[$node]}" "${egress_of[$node]}" "${peers_of[$node]}" "${operators_of[$node]}"; do
    for round in 1 2 3; do noise | send "$address" >/dev/null; done
    printf 'GET / HTTP/1.1\r\nA: %s\r\n\r\n' "$(head -c 200000 /dev/zero | tr '\0' a)" | send "$address" >/dev/null
    printf 'POST /x HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n' | send "$address" >/dev/null
    printf 'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n' | send "$address" >/dev/null
done
answer() { printf "$1" | send "${callers_of[$node]}"; }
check "an overlong body is not run" grep -q 'Chervilpaddle-Code: 2013' <<<"$(answer 'POST /saldos.read HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n')"
check "an unknown customer is not run" grep -q 'Chervilpaddle-Code: 2011' <<<"$(answer 'POST /saldos.read HTTP/1.1\r\nContent-Length: 0\r\n\r\n')"
check "a bad attempt header is not run" grep -q 'Chervilpaddle-Code: 2010' <<<"$(answer 'POST /saldos.read HTTP/1.1\r\nChervilpaddle-Attempt: many\r\nContent-Length: 0\r\n\r\n')"
check "a bad ticket is not run" grep -q 'Chervilpaddle-Code: 2010' <<<"$(answer 'POST /saldos.read HTTP/1.1\r\nChervilpaddle-Customer: phones\r\nChervilpaddle-Ticket: x\r\nContent-Length: 0\r\n\r\n')"
check "egress without a context is not run" grep -q 'Chervilpaddle-Code: 2019' <<<"$(printf 'POST /saldos.read HTTP/1.1\r\nContent-Length: 0\r\n\r\n' | send "${egress_of[$node]}")"
# Slow senders: many incomplete requests stay open while valid calls are sent.
for i in $(seq 1 40); do exec {slow}<>"/dev/tcp/${callers_of[$node]%:*}/${callers_of[$node]##*:}"; printf 'POST /saldos.read HTTP/1.1\r\nX: ' >&"$slow"; done
check "calls succeed beside slow senders" call
large=$(head -c 8388608 /dev/zero | tr '\0' b)
check "a body of 8 MiB is forwarded whole" [ "$(printf 'POST /saldos.read HTTP/1.1\r\nChervilpaddle-Customer: phones\r\nContent-Length: 8388608\r\nConnection: close\r\n\r\n%s' "$large" | send "${callers_of[$node]}" | grep -c 'Chervilpaddle-Outcome: done')" -eq 1 ]
check "the node is still running" kill -0 "${pid_of[node-$node]}"
check "calls still succeed" call
finish
