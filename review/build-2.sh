#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2/. Needs only the
# packages of the deploy file; the build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -DASIO_STANDALONE)
objects=()
pids=()
for it in platform/stand_in/wire.cc review/stand_in_2/{store,runner,world,cases,main}.cc; do
  object="$out/$(basename "${it%.cc}").o"
  if [ ! -e "$object" ] || [ -n "$(find "$it" platform/stand_in review/stand_in_2 -newer "$object" -print -quit)" ]; then
    g++ "${flags[@]}" -c "$it" -o "$object" &
    pids+=($!)
  fi
  objects+=("$object")
done
for it in "${pids[@]}"; do wait "$it"; done
g++ -pthread "${objects[@]}" -o "$out/case-2"
