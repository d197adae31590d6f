#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[1-9]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -o "review/bin/case-$number" "$source"
done
