#!/usr/bin/env bash
# Clients that ask for long answers and read them slowly: a node that keeps an answer for each of them runs out of memory.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 4100 --behaviour slow-readers --clients 60
