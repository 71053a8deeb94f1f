# Functions for the process tests of plain HTTP: six nodes, each on its own loopback address, and their environment.
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"

mesh_names=(outer-1 outer-2 outer-3 inner-1 inner-2 spare-1)
mesh_centres=(a b b a b a)
# Command that runs a node's command; empty: none.
mesh_node_wrapper=()
mesh_port=${CHERVILPADDLE_PORT:-24000}

# start_mesh_node NAME: starts the node of that backend server.
start_mesh_node() {
    local i
    for i in "${!mesh_names[@]}"; do [ "${mesh_names[$i]}" = "$1" ] && break; done
    local address=127.0.0.$((11 + i))
    cat >"$work/$1.ini" <<EOF
[instance]
id = $address
service = ${1%-*}
data_centre = ${mesh_centres[$i]}
[listen]
callers = $address:$((mesh_port + 1))
peers = $address:$((mesh_port + 2))
readiness = $address:$((mesh_port + 3))
operators = $address:$((mesh_port + 4))
[backend]
address = $address:$((mesh_port + 5))
[platform]
address = 127.0.0.1:$mesh_port
[repeats]
ratio = 0.2
slack = 50
window_seconds = 10
[process]
interface = http
stop_grace_seconds = ${mesh_stop_grace:-6}
${mesh_process_settings:-}
[log]
level = info
format = json
EOF
    start "node-$1" "${mesh_node_wrapper[@]}" "$binaries/apps/chervilpaddled" --settings "$work/$1.ini"
}

# start_mesh OPTIONS...: starts the environment and all nodes; returns when the load has started.
start_mesh() {
    start environment "$binaries/standins/chervilpaddle-standin" mesh --port "$mesh_port" "$@"
    local name
    for name in "${mesh_names[@]}"; do start_mesh_node "$name"; done
    until_true 20 grep -q "nodes are ready" "$work/environment.out" || fail "the nodes did not become ready"
}

# finish_mesh: waits for the result of the environment and checks it.
finish_mesh() {
    wait "${pid_of[environment]}"
    local status=$?
    unset "pid_of[environment]"
    cat "$work/environment.out" "$work/environment.log"
    check "no guarantee was violated" [ $status -eq 0 ]
}

# stop_when_asked NAME: stops a node as soon as the environment asks for it, waits for its exit, and sets stop_milliseconds.
stop_when_asked() {
    until_true 10 grep -q "stop now" "$work/environment.out" || fail "the environment did not ask for the stop"
    local begin=$EPOCHREALTIME
    stop_process "node-$1"
    wait "${pid_of[node-$1]}"
    check "the stopped node exited with status 0" [ $? -eq 0 ]
    stop_milliseconds=$(((${EPOCHREALTIME//[!0-9]/} - ${begin//[!0-9]/}) / 1000))
    echo "the stop took $stop_milliseconds ms"
}
