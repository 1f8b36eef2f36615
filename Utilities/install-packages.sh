#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
    g++ cmake ninja-build pkg-config git curl ca-certificates clang-format clang-tidy \
    libpoco-dev libgrpc++-dev libprotobuf-dev libgflags-dev liblog4cxx-dev libabsl-dev \
    libboost-dev libboost-context-dev libxxhash-dev catch2 librapidcheck-dev libbenchmark-dev >/dev/null
