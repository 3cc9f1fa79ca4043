#!/usr/bin/env bash
# A runner that carries a start out, loses the answer, and then rejects starts
# as unhealthy: the task must not run on a second runner meanwhile.
case_dir=$(cd "$(dirname "$0")" && pwd)
source "$case_dir/../lib.sh"

# The first rack has one runner, on which the job's data lies.
rack_size=1
start_deployment 12 2

# Some work on all runners, as on any day.
for n in 1 2 3; do
  job=00000000000000b$n
  [ "$(submit 0 $job '{"spec":"ms=300","steps":[{"count":24,"cpu":16000,"memMb":256,"estimateMs":300,"antiAffinity":2}]}')" = 200 ] ||
    cannot_run "job $job is not accepted"
  [ "$(await_state 0 $job "complete|failed" 20)" = complete ] ||
    cannot_run "job $job is not complete"
done

job=00000000000000c1
if [ "$trouble" = 1 ]; then
  call "127.0.0.1:${ports[0]}" POST "/grey?job=$job&ms=5000" '{}' >/dev/null
  note "worker ${worker_id[0]} fails part of its requests from now on: the next start of $job is carried out and its connection reset; then starts are answered 503 for 5 s"
fi
[ "$(submit 0 $job '{"spec":"ms=4000","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":4000,"affinity":"r1"}]}')" = 200 ] ||
  cannot_run "the job is not accepted"
last=$(await_state 1 $job "complete|failed" 30)
[ "$last" = complete ] || cannot_run "the job is $last"

# Each start must follow the end of the run before it.
twice=$(awk -v task="$job.0.0.0" '
  $2 == "worker" && $5 == task {
    if ($4 == "start") {
      if (open) print "run " $7 " starts on " $3 " while run " open_run " is in progress on " open_worker
      open = 1; open_run = $7; open_worker = $3
    } else if ($7 == open_run) open = 0
  }' "$record")
[ -n "$twice" ] && broken "TWICE: $twice"
held "the task ran once at a time"
