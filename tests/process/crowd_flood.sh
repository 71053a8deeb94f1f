#!/usr/bin/env bash
# A flood of connections that are closed at once must not keep callers out.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 256 --behaviour flood --clients 100
