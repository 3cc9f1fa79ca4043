#!/usr/bin/env bash
# Plays one case of the third review: review/stand_in_3/run.sh CASE FOLDER
# Writes FOLDER/record.txt. TROUBLE=0 leaves the disruption out. Exits with 1
# if the rule was broken, 0 if it held and 2 if the case could not run.
# KEEP_LOGS=1 keeps the settings and logs of the entries and names their folder.
set -uo pipefail
folder=$2
cd "$(dirname "$0")/../.." || exit 2
program=build/review-3/review_case
binary=target/pomelomill
for it in "$program" "$binary"; do
  [ -x "$it" ] || {
    echo "$it is missing; build the deploy file and run review/build-3.sh" >&2
    exit 2
  }
done
directory=$(mktemp -d) || exit 2
# A process group of its own, so that the entries end with the program.
set -m
timeout --kill-after=2 115 "$program" "$1" "$binary" "$directory" \
  "${TROUBLE:-1}" &
group=$!
trap 'kill -KILL -- -"$group" 2>/dev/null' INT TERM
wait "$group"
status=$?
kill -KILL -- -"$group" 2>/dev/null
cp "$directory/record.txt" "$folder/record.txt"
if [ "${KEEP_LOGS:-0}" = 1 ]; then
  echo "settings and logs: $directory"
else
  rm -rf "$directory"
fi
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
