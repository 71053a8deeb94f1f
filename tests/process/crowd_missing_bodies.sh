#!/usr/bin/env bash
# Bodies that are announced and not sent must not take the memory for the bodies of callers.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 4100 --behaviour missing-bodies --clients 60 --caller-body 4000000
