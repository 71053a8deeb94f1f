# Functions for the process tests: the Tandas cluster with its stand-ins on loopback, loads, checks and the test result.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../../.." && pwd)
source "$root/tools/cluster.sh"
trap stop_cluster EXIT

configure_tandas() { # SLOTS
    cluster_begin "${CHERVILPADDLE_PORT:-24000}"
    local service number
    for service in pagos saldos aportes; do
        for number in 1 2 3; do
            add_instance $service $number "$([ $number -lt 3 ] && echo centre-a || echo centre-b)" "${1:-20}"
        done
    done
}

start_tandas() {
    start_cluster "${contracts:-$root/examples/contracts/tandas}" "${behaviour_file:-$root/examples/behaviour/tandas.ini}" || fail "the cluster did not become ready"
}

targets() { # SERVICE
    printf '%s' "${callers_of[$1-1]}, ${callers_of[$1-2]}, ${callers_of[$1-3]}"
}

stream() { # CUSTOMER OPERATION RATE REPEATS [TARGETS]
    printf '[stream %s.%s]\ncustomer = %s\noperation = %s\nrate = %s\nrepeats = %s\ntargets = %s\n' "$1" "$2" "$1" "$2" "$3" "$4" "${5:-$(targets "${2%%.*}")}"
}

fail() {
    echo "FAILED: $*"
    failed=1
    exit 1
}

check() { # MESSAGE COMMAND...
    local message=$1
    shift
    "$@" || { echo "FAILED: $message"; failed=1; }
}

failed=0
finish() {
    [ $failed -eq 0 ] && echo passed
    exit $failed
}

once="--once pagos.instruct --once aportes.debit"
outcomes_agree() { # LOAD [OPTIONS]
    collect_records
    local load=$1 name records=()
    shift
    for name in "${instance_names[@]}"; do records+=(--records "$work/$name.record"); done
    "$binaries/standins/chervilpaddle-standin" judge "${records[@]}" --requests "$work/$load.requests" $once "$@"
}

show_codes() { # LOAD: prints the number of requests by operation, outcome and result code
    echo "codes: $(cut -d' ' -f2-4 "$work/$1.requests" | sort | uniq -c | sort -rn | awk '{print $2, $3, $4 ":" $1}' | paste -sd';')"
}
