#!/usr/bin/env bash
# The store turns one entry away in the middle of a transaction: a submission
# that is rejected must never run.
case_dir=$(cd "$(dirname "$0")" && pwd)
source "$case_dir/../lib.sh"

start_deployment 8 3
job=00000000000000d1
if [ "$trouble" = 1 ]; then
  call "$operator" POST "/lose?front=0&text=ids/$job&busyMs=4000" >/dev/null
  note "store: turns entry-0 away from its next submission on: that transaction's connection is reset, then all calls of entry-0 are answered 503 for 4 s"
fi
status=$(submit 0 $job '{"spec":"ms=500","steps":[{"count":2,"cpu":1000,"memMb":256,"estimateMs":500}]}')

case $status in
  200)
    [ "$(await_state 1 $job "complete|failed" 30)" = complete ] ||
      cannot_run "the accepted job is not complete"
    held "the submission was accepted and has run"
    ;;
  429 | 503)
    sleep 15
    runs=$(recorded "worker .* start $job")
    [ "$runs" -gt 0 ] &&
      broken "REFUSED: $runs starts of a submission whose only attempt was answered $status"
    held "the submission was rejected and has not run"
    ;;
  *) held "the outcome is open: status $status" ;;
esac
