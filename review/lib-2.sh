# Functions for the scripts of this review. A script sources this file from its folder and then calls `machine` and `finish`.
set -uo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
node_program=$root/target/apps/chervilpaddled
standins=$root/target/review-2
trouble=${TROUBLE:-1}
work=$(mktemp -d)
pids=()
: >"$here/record.txt"

cannot_run() {
    echo "cannot run: $*" | tee -a "$here/record.txt"
    exit 2
}

end_processes() {
    local pid
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null && kill -KILL "$pid" 2>/dev/null; done
    for pid in $(cat "$work"/*.pid 2>/dev/null); do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap end_processes EXIT
trap 'exit 2' INT TERM

[ -x "$node_program" ] || cannot_run "$node_program is missing: run the build of deploy/system.toml"

is_used() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }

# The first of ten consecutive ports below the range of ephemeral ports.
choose_port() {
    local try offset address used
    for try in $(seq 30); do
        port=$((20000 + RANDOM % 1100 * 10))
        used=0
        for offset in $(seq 0 9); do
            for address in 127.0.0.1 127.0.0.2 127.0.0.11 127.0.0.12; do is_used $address $((port + offset)) && used=1; done
        done
        [ $used -eq 0 ] && return
    done
    cannot_run "no free ports"
}
choose_port

# settings NAME IP SERVICE ZONE: fills in the template of the deploy file, as the platform does.
settings() {
    sed -e "s|{{ip_address}}|$2|g" -e "s|{{service}}|$3|g" -e "s|{{zone}}|$4|g" \
        -e "s|{{listen_addresses.outbound}}|$2:$((port + 1))|g" -e "s|{{listen_addresses.ready}}|$2:$((port + 3))|g" \
        -e "s|{{internal_port_range.0}}|$((port + 2))|g" -e "s|{{internal_port_range.1}}|$((port + 4))|g" \
        -e "s|{{application_address}}|$2:$((port + 5))|g" -e "s|{{platform.address}}|127.0.0.1:$port|g" \
        -e "s|{{bounds.retry_budget_ratio}}|0.2|g" -e "s|{{bounds.budget_slack}}|50|g" -e "s|{{bounds.budget_window_s}}|10|g" \
        -e "s|{{bounds.grace_period_s}}|6|g" -e "s|{{limits.memory_mb}}|${memory_mb:-260}|g" -e "s|{{limits.fd_limit}}|${fd_limit:-4100}|g" \
        "$root/deploy/node.ini" >"$work/$1.conf"
    ! grep -q '{{' "$work/$1.conf" || cannot_run "a field of deploy/node.ini is not known here"
}

# machine NAME IP SERVICE ZONE: starts a node with the command of the deploy file.
machines=()
machine() {
    settings "$@"
    (cd "$root" && exec "$node_program" --settings "$work/$1.conf") >"$work/$1.log" 2>&1 &
    pids+=($!)
    machines+=("$1,$2,$3,$4,$!")
}

# restarted_machine NAME IP SERVICE ZONE: like machine; the node is started again whenever it has ended. Its process id is in NAME.pid.
restarted_machine() {
    settings "$@"
    (
        cd "$root" || exit
        while true; do
            "$node_program" --settings "$work/$1.conf" &
            echo $! >"$work/$1.pid"
            wait $!
            sleep 0.5
        done
    ) >"$work/$1.log" 2>&1 &
    pids+=($!)
    machines+=("$1,$2,$3,$4,$!")
}

# finish PROGRAM: runs the stand-ins; their status is that of the script.
finish() {
    timeout "${limit_s:-110}" "$standins/$1" "$port" "$trouble" "$here/record.txt" "${machines[@]}" &
    pids+=($!)
    wait $!
    local status=$?
    if [ "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS" && cp "$work"/*.log "$KEEP_LOGS"; fi
    [ $status -le 2 ] || cannot_run "the stand-ins ended with status $status"
    exit $status
}
