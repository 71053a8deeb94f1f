#!/usr/bin/env bash
# Connections that are opened and left must not take the descriptors and the room of callers.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 256 --behaviour idlers --clients 300
