#!/usr/bin/env bash
# Bodies that arrive except for their last byte must not take the memory for the bodies of callers.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 4100 --behaviour unfinished-bodies --clients 30 --caller-body 4000000
