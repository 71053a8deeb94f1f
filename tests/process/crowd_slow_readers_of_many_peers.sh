#!/usr/bin/env bash
# Clients of one node that read slowly what the backend servers beside many other nodes answer: all of them may be sending long
# answers to that node at once.
source "$(dirname "$0")/lib/crowd.sh"
crowd_nodes 12
run_crowd 80 4100 --behaviour slow-readers --clients 60 --crowded 1
