# Functions for scripts that run several nodes with their stand-ins on loopback. Set `root` before sourcing this file.
# stop_cluster ends every process that was started here, by its id.

binaries=${CHERVILPADDLE_BUILD:-$root/build}
work=$(mktemp -d)
declare -A pid_of
instances_json=
node_count=0

# cluster_begin PORT: sets the first port, on which the platform listens.
cluster_begin() {
    base_port=$1
    platform_address=127.0.0.1:$base_port
    next_port=$((base_port + 1))
    instances_json='{"instances":['
}

# start NAME COMMAND...: starts a process in the background and stores its id in pid_of.
start() {
    local name=$1
    shift
    if [[ $name == node-* ]]; then
        # Nodes log to standard output.
        "$@" >>"$work/$name.log" 2>&1 &
    else
        "$@" >"$work/$name.out" 2>>"$work/$name.log" &
    fi
    pid_of[$name]=$!
}

# add_instance SERVICE NUMBER DATA_CENTRE SLOTS: configures a node and its backend server, which start_cluster starts.
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

# start_cluster CONTRACTS BEHAVIOUR: starts the platform, the backend servers and the nodes; waits until all nodes are ready.
start_cluster() {
    behaviour=$2
    start_platform "$1"
    local name
    for name in "${instance_names[@]}"; do start_backend "$name"; done
    for name in "${instance_names[@]}"; do start_node "$name"; done
    wait_ready
}

# node_state NAME PATTERN: prints the first match of a pattern in a node's state dump.
node_state() {
    "$binaries/apps/chervilpaddle" state "${operators_of[$1]}" 2>/dev/null | grep -oE "$2" | head -n 1
}

# wait_ready: waits until every node reports that it is ready, then half a second more for the links between nodes.
wait_ready() {
    local name tries=0
    for name in "${instance_names[@]}"; do
        until [ -n "$(node_state "$name" '"ready": true')" ]; do
            tries=$((tries + 1))
            [ $tries -gt 200 ] && { echo "node $name did not become ready" >&2; return 1; }
            pause 0.05
        done
    done
    pause 0.5
}

stop_process() {
    kill -"${2:-TERM}" "${pid_of[$1]}" 2>/dev/null || true
}

# kill_process NAME: kills a process and waits until it is gone, as its addresses cannot be bound before.
kill_process() {
    stop_process "$1" KILL
    wait "${pid_of[$1]}" 2>/dev/null || true
}

stop_cluster() {
    local name
    for name in "${!pid_of[@]}"; do [[ $name == node-* ]] && stop_process "$name"; done
    for name in "${!pid_of[@]}"; do [[ $name == node-* ]] && { wait "${pid_of[$name]}" 2>/dev/null || true; }; done
    for name in "${!pid_of[@]}"; do [[ $name == node-* ]] || stop_process "$name"; done
    for name in "${!pid_of[@]}"; do wait "${pid_of[$name]}" 2>/dev/null || true; done
    rm -rf "$work"
}

# http METHOD ADDRESS PATH [BODY]: prints the body of the response.
http() {
    local body=${4:-}
    exec 9<>"/dev/tcp/${2%:*}/${2##*:}" || return 1
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "$1" "$3" "$2" "${#body}" "$body" >&9
    sed '1,/^\r$/d' <&9
    exec 9<&- 9>&-
}

# pause SECONDS: sleeps without starting a process.
pause() {
    read -rt "$1" <> <(:) || true
}

# until_true SECONDS COMMAND...: repeats a command until it succeeds; fails after the given time.
until_true() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ $SECONDS -ge "$end" ] && return 1
        pause 0.1
    done
}

# collect_records: saves the records of all backend servers as $work/NAME.record.
collect_records() {
    local name
    for name in "${instance_names[@]}"; do
        http GET "${backend_of[$name]}" /record >"$work/$name.record" 2>/dev/null || true
    done
}

# start_load NAME: starts the load of $work/NAME.load in the background.
start_load() {
    start "load-$1" "$binaries/apps/chervilpaddle" load "$work/$1.load" --json --requests "$work/$1.requests"
}

# finish_load NAME: waits for the load to end. Its report is in $work/load-NAME.out.
finish_load() {
    wait "${pid_of[load-$1]}" || true
    unset "pid_of[load-$1]"
}

# load_count NAME FIELD: prints a field of the report, summed over phases and streams.
load_count() {
    grep -oE "\"$2\":[0-9]+" "$work/load-$1.out" | cut -d: -f2 | awk "{ sum += \$1 } END { print sum + 0 }"
}
