#!/usr/bin/env bash
# The reader of a node's standard output stands still for 15 s while many users come. TROUBLE=0: the same without the standstill.
source "$(dirname "$0")/../lib-2.sh"
mkfifo "$work/output" || cannot_run "no pipe"
cat <"$work/output" >"$work/pagos-1.output" &
pids+=($!)
export LOG_READER=$!
settings pagos-1 127.0.0.11 pagos co-centro-a
(cd "$root" && exec "$node_program" --settings "$work/pagos-1.conf") >"$work/output" 2>&1 &
pids+=($!)
machines+=("pagos-1,127.0.0.11,pagos,co-centro-a,$!")
machine pagos-2 127.0.0.12 pagos co-centro-b
machine saldos-1 127.0.0.13 saldos co-centro-a
machine saldos-2 127.0.0.14 saldos co-centro-b
finish stalled_log
