#!/usr/bin/env bash
# All open connections to the store go silent, then an endpoint leaves. TROUBLE=0: the same without the silence.
source "$(dirname "$0")/../lib-2.sh"
for number in 1 2 3 4 5 6; do
    machine pagos-$number 127.0.0.$((10 + number)) pagos "co-centro-$([ $((number % 2)) -eq 1 ] && echo a || echo b)"
done
machine saldos-1 127.0.0.17 saldos co-centro-a
machine saldos-2 127.0.0.18 saldos co-centro-b
finish silent_store
