#!/usr/bin/env bash
# Builds the program of each script: it holds the stand-ins for the platform, the endpoints and the clients. Needs a C++17 compiler only.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$folder/bin"
for case in "$folder"/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread "$case" -o "$folder/bin/case$number" &
done
wait
for case in "$folder"/[1-5]/case.cpp; do
    test -x "$folder/bin/case$(basename "$(dirname "$case")")"
done
