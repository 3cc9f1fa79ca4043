#!/usr/bin/env bash
# Prints CSV with the measures of planner and maintenance beside their
# baselines: scripts/measure.sh [--seed S] [--scenario FILE]... | --slopes
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release measure >&2
arguments=()
scenarios=()
while [ $# -gt 0 ]; do
  case $1 in
    --seed) arguments+=(--seed "$2") && shift 2 ;;
    --scenario) scenarios+=("$2") && shift 2 ;;
    --slopes) arguments+=(--slopes) && shift ;;
    *) echo "usage: scripts/measure.sh [--seed S] [--scenario FILE]... | --slopes" >&2 && exit 2 ;;
  esac
done
[ ${#scenarios[@]} -gt 0 ] || scenarios=(examples/scenarios/*.ini)
build/release/tools/measure/measure "${arguments[@]}" "${scenarios[@]}"
