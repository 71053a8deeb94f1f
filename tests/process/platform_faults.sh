#!/usr/bin/env bash
# The platform goes down, publishes an older revision and publishes an invalid bundle. The contracts in force must stay,
# calls must succeed, and a new process must get its contracts from its peers.
source "$(dirname "$0")/lib/common.sh"
configure_tandas
start_tandas
revision() { node_state "$1" '"revision": [0-9]+' | grep -oE '[0-9]+'; }
all_at() { local name; for name in "${instance_names[@]}"; do [ "$(revision "$name")" = "$1" ] || return 1; done; }
call() { "$binaries/apps/chervilpaddle" call "${callers_of[$1]}" phones saldos.read --body x >/dev/null 2>&1; }
check "revision 1 is in force" until_true 10 all_at 1
http POST "$platform_address" /control/contracts "$root/examples/contracts/tandas" >/dev/null
check "revision 2 is in force" until_true 10 all_at 2
http POST "$platform_address" /control/fault down >/dev/null
check "calls succeed while the platform is down" call saldos-2
kill_process node-saldos-1
printf '[peers]\nseeds = %s, %s\n' "${peers_of[pagos-1]}" "${peers_of[aportes-3]}" >>"$work/saldos-1.ini"
start_node saldos-1
check "a new process gets its contracts from its peers" until_true 10 all_at 2
check "the new process serves calls" until_true 10 call saldos-1
http POST "$platform_address" /control/fault none >/dev/null
old=$(http GET "$platform_address" /v1/values/manifest | sed 's/"revision":2/"revision":1/')
http POST "$platform_address" /control/values "{\"key\":\"manifest\",\"revision\":99,\"text\":\"${old//\"/\\\"}\"}" >/dev/null
pause 3
check "an older revision is ignored" all_at 2
mkdir "$work/broken"
cp "$root"/examples/contracts/tandas/*.ini "$work/broken"
sed -i 's/worth = 900/worth = 9000/' "$work/broken/organisers.ini"
http POST "$platform_address" /control/contracts "$work/broken" >/dev/null
pause 3
check "an invalid bundle is rejected as a whole" all_at 2
check "calls still succeed" call saldos-2
http POST "$platform_address" /control/contracts "$root/examples/contracts/tandas" >/dev/null
check "a valid bundle after it is in force" until_true 10 all_at 4
finish
