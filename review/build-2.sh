#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 that are scripts into target/review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
g++ -std=c++20 -O1 -Wall -Wextra -c review/support-2/harness.cpp -o "$out/harness.o"
for source in review/{6,7,8,9,10}/script.cpp; do
    if [ -f "$source" ]; then
        name=$(basename "$(dirname "$source")")
        g++ -std=c++20 -O1 -Wall -Wextra "$source" "$out/harness.o" -o "$out/case-$name" -pthread
    fi
done
g++ -std=c++20 -O1 -Wall -Wextra review/support-2/memory.cpp "$out/harness.o" -o "$out/memory" -pthread
