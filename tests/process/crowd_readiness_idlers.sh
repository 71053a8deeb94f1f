#!/usr/bin/env bash
# Connections that are left at the readiness port must not take the node out of service.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 256 --behaviour idlers --clients 300 --door 3
