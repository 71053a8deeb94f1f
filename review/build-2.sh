#!/usr/bin/env bash
# Builds the stand-ins of this review into target/review-2/. They need a C++17 compiler and nothing else.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
for source in "$root"/review/standins-2/*.cpp; do
    g++ -std=c++17 -O2 -Wall -Wextra -pthread "$source" -o "$root/target/review-2/$(basename "$source" .cpp)"
done
