#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into target/review/. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c -o target/review/stand_ins.o review/stand_ins/stand_ins.cxx
for source in review/[1-5]/*.cxx; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" -o "target/review/$(basename "$source" .cxx)" target/review/stand_ins.o "$source"
done
