#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. The deploy file's build comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in crash_case part_case entry_case; do
    g++ -std=c++20 -O2 -pthread -o "target/review-2/$name" "review/stand_ins_2/$name.cxx" review/stand_ins_2/{http_wire,platform,endpoint}.cxx
done
