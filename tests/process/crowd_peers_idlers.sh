#!/usr/bin/env bash
# Connections that are left at the peers' port must not take the descriptors that callers need.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 256 --behaviour idlers --clients 300 --door 2 --seconds 4
