# Functions for the tests with clients that misbehave: two nodes or more with crowds of such clients, and callers that do not. A
# test checks that the processes live within the memory and the descriptors of their machine and still serve.
source "$(dirname "${BASH_SOURCE[0]}")/mesh.sh"

longest_run=120

# crowd_nodes COUNT: sets the number of nodes.
crowd_nodes() {
    mesh_names=()
    mesh_centres=()
    local number
    for number in $(seq "$1"); do
        mesh_names+=("archive-$number")
        mesh_centres+=(a)
    done
}
crowd_nodes 2

# peak_kibibytes NAME: prints the most memory that a node has had resident.
peak_kibibytes() {
    grep -oE 'VmHWM:[[:space:]]*[0-9]+' "/proc/${pid_of[node-$1]}/status" 2>/dev/null | grep -oE '[0-9]+'
}

# run_crowd MEMORY_MB DESCRIPTORS OPTIONS...: runs the nodes with a crowd, and checks that each stays within these bounds.
run_crowd() {
    local memory_kibibytes=$(($1 * 1000000 / 1024)) descriptors=$2 name
    mesh_process_settings=$(printf 'memory_mb = %d\ndescriptors = %d\n' "$1" "$2")
    # The node must not open more descriptors than its machine has.
    mesh_node_wrapper=(bash -c "ulimit -n $2 && exec \"\$@\"" node)
    shift 2
    start environment "$binaries/standins/chervilpaddle-standin" crowd --port "$mesh_port" --nodes ${#mesh_names[@]} "$@"
    for name in "${mesh_names[@]}"; do start_mesh_node "$name"; done
    declare -A most_descriptors
    local end=$((SECONDS + longest_run))
    while kill -0 "${pid_of[environment]}" 2>/dev/null && [ $SECONDS -lt $end ]; do
        for name in "${mesh_names[@]}"; do
            local open=("/proc/${pid_of[node-$name]}/fd/"*)
            [ ${#open[@]} -gt "${most_descriptors[$name]:-0}" ] && most_descriptors[$name]=${#open[@]}
        done
        pause 0.05
    done
    check "ordinary requests were served beside the crowd and after it" [ $SECONDS -lt $end ]
    for name in "${mesh_names[@]}"; do
        local peak=$(peak_kibibytes "$name")
        echo "$name: ${peak:-no} KiB of $memory_kibibytes, ${most_descriptors[$name]} descriptors of $descriptors"
        check "$name lives" [ -n "$peak" ]
        check "$name stays within its memory" [ "${peak:-0}" -le $memory_kibibytes ]
        check "$name stays within its descriptors" [ "${most_descriptors[$name]}" -le "$descriptors" ]
    done
    [ $SECONDS -lt $end ] || stop_process environment
    finish_mesh
    finish
}
