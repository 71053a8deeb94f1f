#!/usr/bin/env bash
# Requests that are sent without reading the responses must not take the memory that callers need.
source "$(dirname "$0")/lib/crowd.sh"
run_crowd 80 4100 --behaviour pipeliners --clients 60
