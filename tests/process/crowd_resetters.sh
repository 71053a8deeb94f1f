#!/usr/bin/env bash
# Clients that reset their connection when a long answer begins must not take what callers need.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 4100 --behaviour resetters --clients 60
