#!/usr/bin/env bash
# One seed of the soak with real processes (tools/soak):
#   scripts/soak.sh --seed N [--seconds S] [--binary PATH] [--directory DIR]
# Several seeds run side by side by separate calls. The product is taken from
# target/ (built with the command of deploy/system.toml). Without --directory
# the record and the logs stay, in a temporary directory, only when a rule was
# broken. SOAK names a built soak program.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=
seconds=18
binary=$PWD/target/pomelomill
directory=
while [ $# -gt 1 ]; do
  case $1 in
    --seed) seed=$2 ;;
    --seconds) seconds=$2 ;;
    --binary) binary=$(realpath "$2") ;;
    --directory) directory=$2 ;;
    *) break ;;
  esac
  shift 2
done
if [ $# -gt 0 ] || [ -z "$seed" ]; then
  sed -n '3p' "$0" >&2
  exit 2
fi
[ -x "$binary" ] || {
  echo "$binary is missing; build target/ first" >&2
  exit 2
}
soak=${SOAK:-build/release/tools/soak/soak}
[ -x "$soak" ] || scripts/build.sh release soak >&2
kept=$directory
[ -n "$directory" ] || directory=$(mktemp -d)
# A process group of its own, so that the entries end with the program.
set -m
"$soak" --seed "$seed" --seconds "$seconds" --binary "$binary" \
  --directory "$directory" &
program=$!
trap 'kill -KILL -- -$program; exit 2' INT TERM
status=0
wait "$program" || status=$?
if [ -z "$kept" ]; then
  if [ "$status" = 0 ]; then
    rm -rf "$directory"
  else
    echo "record and logs: $directory"
  fi
fi
exit "$status"
