#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start, beside the program that the deploy file builds, under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in slow_uploads alike_requests poison_again; do
    g++ -std=c++20 -O2 -Wall -Wextra -o "target/review-3/$name" review/stand_ins_3/stand_ins.cxx "review/stand_ins_3/$name.cxx" -pthread
done
