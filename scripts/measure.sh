#!/usr/bin/env bash
# Prints CSV with the measures of planner and maintenance beside their
# baselines: scripts/measure.sh [--seed S] [--scenario FILE]... | --slopes
# --slopes prints the cost of one decision and of the exchanges between entries
# by size. --jobs prints those of the job scheduler at 95% full: scripts/measure.sh
# --jobs [WORKERS,TEAMS]..., by default 100,9 400,35 1700,140. --traffic prints
# requests a second for a core of one entry and the latency that it adds, --slots
# the ways to split the slots of endpoints between entries. --owner prints the
# processor time of an entry of the job service for each run of a task.
set -euo pipefail
cd "$(dirname "$0")/.."
case ${1:-} in
  --traffic | --slots | --owner)
    tool=measure_${1#--}
    shift
    scripts/build.sh release "$tool" >&2
    exec "build/release/tools/$tool/$tool" "$@"
    ;;
esac
if [ "${1:-}" = --jobs ]; then
  shift
  scripts/build.sh release measure_jobs >&2
  build/release/tools/measure_jobs/measure_jobs --only full_95 "$@"
  exec build/release/tools/measure_jobs/measure_jobs --only each_worker_full "$@"
fi
scripts/build.sh release measure measure_exchange >&2
arguments=()
scenarios=()
slopes=0
while [ $# -gt 0 ]; do
  case $1 in
    --seed) arguments+=(--seed "$2") && shift 2 ;;
    --scenario) scenarios+=("$2") && shift 2 ;;
    --slopes) slopes=1 && shift ;;
    *) echo "usage: scripts/measure.sh [--seed S] [--scenario FILE]... | --slopes | --jobs [WORKERS,TEAMS]... | --traffic | --slots | --owner" >&2 && exit 2 ;;
  esac
done
if [ "$slopes" = 1 ]; then
  build/release/tools/measure/measure --slopes
  exec build/release/tools/measure_exchange/measure_exchange
fi
[ ${#scenarios[@]} -gt 0 ] || scenarios=(examples/scenarios/*.ini)
build/release/tools/measure/measure "${arguments[@]}" "${scenarios[@]}"
