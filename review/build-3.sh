#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build/review-3/.
# CXX names the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
sources=(
  review/stand_in_3/main.cc
  review/stand_in_3/runner.cc
  platform/stand_in/store.cc
  platform/stand_in/wire.cc
  platform/stand_in/worker.cc
  tools/soak/entry_process.cc
  tools/soak/record.cc
)
"${CXX:-g++}" -std=c++20 -O1 -pthread -DASIO_STANDALONE \
  -I platform/stand_in \
  "${sources[@]}" -o build/review-3/review_case
