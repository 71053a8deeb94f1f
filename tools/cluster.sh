# Functions for scripts that run several nodes with their stand-ins on loopback. To be sourced; set `root` first.
# Every process that is started here is ended by its id in stop_cluster.

binaries=${CHERVILPADDLE_BUILD:-$root/build}
work=$(mktemp -d)
declare -A pid_of
instances_json=
node_count=0

# cluster_begin PORT: the first port; the platform listens there.
cluster_begin() {
    base_port=$1
    platform_address=127.0.0.1:$base_port
    next_port=$((base_port + 1))
    instances_json='{"instances":['
}

# start NAME COMMAND...: starts a process in the background and keeps its id.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pid_of[$name]=$!
}

# add_instance SERVICE NUMBER DATA_CENTRE SLOTS: plans a node and its backend server; start_cluster starts them.
declare -A callers_of egress_of peers_of operators_of backend_of service_of slots_of
instance_names=()
add_instance() {
    local name=$1-$2
    callers_of[$name]=127.0.0.1:$next_port
    egress_of[$name]=127.0.0.1:$((next_port + 1))
    peers_of[$name]=127.0.0.1:$((next_port + 2))
    operators_of[$name]=127.0.0.1:$((next_port + 3))
    backend_of[$name]=127.0.0.1:$((next_port + 4))
    service_of[$name]=$1
    slots_of[$name]=$4
    next_port=$((next_port + 5))
    instance_names+=("$name")
    [ $node_count -gt 0 ] && instances_json+=,
    node_count=$((node_count + 1))
    instances_json+="{\"id\":\"$name\",\"service\":\"$1\",\"dataCentre\":\"$3\",\"address\":\"${peers_of[$name]}\",\"slots\":$4,\"connections\":750,\"state\":\"live\"}"
    cat >"$work/$name.ini" <<EOF
[instance]
id = $name
service = $1
data_centre = $3
[listen]
callers = ${callers_of[$name]}
egress = ${egress_of[$name]}
peers = ${peers_of[$name]}
operators = ${operators_of[$name]}
[backend]
address = ${backend_of[$name]}
[platform]
address = $platform_address
[log]
level = ${CHERVILPADDLE_LOG_LEVEL:-info}
format = json
EOF
}

start_platform() {
    printf '%s]}' "$instances_json" >"$work/instances.json"
    start platform "$binaries/standins/chervilpaddle-standin" platform --listen "$platform_address" --contracts "$1" --instances "$work/instances.json"
}

start_backend() {
    start "backend-$1" "$binaries/standins/chervilpaddle-standin" backend --listen "${backend_of[$1]}" --egress "${egress_of[$1]}" \
        --behaviour "$behaviour" --slots "${slots_of[$1]}" --seed "${next_port}"
}

start_node() {
    start "node-$1" "$binaries/apps/chervilpaddled" --settings "$work/$1.ini" ${node_options:-}
}

# start_cluster CONTRACTS BEHAVIOUR: the platform, the backend servers and the nodes; waits until all nodes are ready.
start_cluster() {
    behaviour=$2
    start_platform "$1"
    local name
    for name in "${instance_names[@]}"; do start_backend "$name"; done
    for name in "${instance_names[@]}"; do start_node "$name"; done
    wait_ready
}

# node_state NAME PATTERN: the first match of a pattern in a node's state dump.
node_state() {
    "$binaries/apps/chervilpaddle" state "${operators_of[$1]}" 2>/dev/null | grep -oE "$2" | head -n 1
}

# Ready: configuration and list in force, and a link to every peer wanted.
wait_ready() {
    local name tries=0
    for name in "${instance_names[@]}"; do
        until [ "$(node_state "$name" '"links": [0-9]+' | grep -oE '[0-9]+')" -ge "${links_wanted:-$((node_count > 3 ? 3 : 1))}" ] 2>/dev/null \
            && node_state "$name" '"revision": [1-9][0-9]*' >/dev/null; do
            tries=$((tries + 1))
            [ $tries -gt 200 ] && { echo "node $name is not ready" >&2; return 1; }
            read -rt 0.05 <> <(:) || true
        done
    done
}

stop_process() {
    kill -"${2:-TERM}" "${pid_of[$1]}" 2>/dev/null || true
}

stop_cluster() {
    local name
    for name in "${!pid_of[@]}"; do [[ $name == node-* ]] && stop_process "$name"; done
    for name in "${!pid_of[@]}"; do [[ $name == node-* ]] && { wait "${pid_of[$name]}" 2>/dev/null || true; }; done
    for name in "${!pid_of[@]}"; do [[ $name == node-* ]] || stop_process "$name"; done
    for name in "${!pid_of[@]}"; do wait "${pid_of[$name]}" 2>/dev/null || true; done
    rm -rf "$work"
}
