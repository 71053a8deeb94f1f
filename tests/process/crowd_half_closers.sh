#!/usr/bin/env bash
# Clients that close their direction after the request must not take what callers need.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 4100 --behaviour half-closers --clients 60
