#!/usr/bin/env bash
# Clients that read nothing of long answers must not take the memory that callers need.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 4100 --behaviour non-readers --clients 60
