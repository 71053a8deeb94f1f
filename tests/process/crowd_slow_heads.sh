#!/usr/bin/env bash
# Heads that arrive a byte at a time hold connections that callers need.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 256 --behaviour slow-heads --clients 300
