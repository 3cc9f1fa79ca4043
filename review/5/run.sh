#!/usr/bin/env bash
# A configuration that drops a route, and a restart after it, must not change
# how often the work items of an accepted submission are tried.
case_dir=$(cd "$(dirname "$0")" && pwd)
source "$case_dir/../lib.sh"

# The first rack has one runner; the first run of step 1 fails there.
rack_size=1
start_deployment 4 2
job=00000000000000f1
[ "$(submit 0 $job '{"spec":"ms=9000;fails=r1","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":9000,"affinity":"r1"}]}')" = 200 ] ||
  cannot_run "the job is not accepted"
await_recorded "start $job.0.0.0 " 1 10 || cannot_run "the task is not started"

if [ "$trouble" = 1 ]; then
  other='{"name":"quotes","host":"'$host'","prefix":"/quotes/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"forge","attempts":4,"stretch":2}'
  put_config 3 "$other"
  sleep 1
  for it in 0 1; do
    note "entry-$it: SIGTERM, then it starts again"
    kill -TERM "${entry_pid[it]}"
    wait "${entry_pid[it]}"
    start_entry "$it"
    await_ready "$it"
    # The site's pause between two stops.
    sleep 2
  done
  await_recorded "(failed|done|lapsed) $job" 1 15 || cannot_run "the first run does not end"
  sleep 1
  put_config 7
  # configApplyMs is 2000.
  sleep 2.5
fi

last=$(await_state 1 $job "complete|failed" 40)
failed=$(recorded "worker .* failed $job")
note "client: $failed runs of $job have ended failed; its route has 4 attempts"
[ "$last" = failed ] && [ "$failed" -lt 4 ] &&
  broken "LOST: the job is shown as failed after $failed failed run; its route has 4 attempts"
[ "$last" = complete ] || cannot_run "the job is $last"
held "the job is complete"
