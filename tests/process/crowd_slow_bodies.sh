#!/usr/bin/env bash
# Bodies that arrive a byte at a time must not take the memory for the bodies of callers.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 4100 --behaviour slow-bodies --clients 60 --caller-body 4000000
