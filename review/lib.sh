# Functions of the scripts of the review. A script sets `case_dir` first.
#
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

review_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
repository=$(dirname "$review_dir")
stand_in=$review_dir/build/stand_in
record=$case_dir/record.txt
trouble=${TROUBLE:-1}
host=forge.example

note() { printf '%s %s\n' "$(date +%s%3N)" "$*" >>"$record"; }

cannot_run() {
  note "cannot run: $*"
  echo "cannot run: $*" >&2
  exit 2
}

held() {
  note "held: $*"
  echo "held: $*"
  exit 0
}

broken() {
  note "broken: $*"
  echo "broken: $*"
  exit 1
}

end_processes() {
  exec 2>/dev/null
  local it
  # Only children that still run: an ended one's id may belong to another.
  for it in $(jobs -pr); do kill -KILL "$it" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}

# launch NAME COMMAND...: starts a process in the background; its id is in
# `launched`.
launch() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  launched=$!
}

# call ADDRESS METHOD TARGET [BODY]: prints the status and the body.
call() { "$stand_in" call "$1" "$2" "$3" "$host" "${4:-}"; }

# submit ENTRY JOB BODY: prints the status, and records it.
submit() {
  local answer
  answer=$(call "${callers[$1]}" POST "/orders/$2" "$3")
  note "client: POST $2 at entry-$1: $answer"
  echo "${answer%% *}"
}

# state ENTRY JOB: prints the state, or the status of another answer.
state() {
  local answer
  answer=$(call "${callers[$1]}" GET "/orders/$2")
  case $answer in
    200*\"state\"*) sed 's/.*"state":"\([a-z]*\)".*/\1/' <<<"$answer" ;;
    *) echo "${answer%% *}" ;;
  esac
}

# await_state ENTRY JOB STATES SECONDS: waits until the state is one of STATES
# (a pattern such as "complete|failed"), and prints the last state.
await_state() {
  local last end=$((SECONDS + $4))
  while [ "$SECONDS" -le "$end" ]; do
    last=$(state "$1" "$2")
    [[ $last =~ ^($3)$ ]] && break
    sleep 0.25
  done
  note "client: GET $2 at entry-$1: $last"
  echo "$last"
}

# recorded PATTERN: the number of recorded lines that match.
recorded() { grep -cE "$1" "$record"; }

# await_recorded PATTERN COUNT SECONDS: fails after that time.
await_recorded() {
  local end=$((SECONDS + $3))
  while [ "$SECONDS" -le "$end" ]; do
    [ "$(recorded "$1")" -ge "$2" ] && return 0
    sleep 0.1
  done
  return 1
}

# put_config VERSION [ROUTES]: the operator writes op/config. Without ROUTES it
# has the one route of the scripts.
put_config() {
  local route routes
  route='{"name":"orders","host":"'$host'","prefix":"/orders/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"forge","attempts":4,"stretch":2}'
  routes=${2-$route}
  call "$operator" POST "/put?key=op/config" '{"version":'"$1"',"routes":['"$routes"'],"services":[{"name":"forge","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"spare":false}],"limits":{"maxBodyBytes":262144}}' >/dev/null
  note "operator: config $1, routes [${routes:0:40}]"
}

# start_worker INDEX ID: a runner at the address of that index; each rack holds
# `rack_size` of them.
start_worker() {
  launch "worker-$2" "$stand_in" worker "$2" "127.0.0.1:${ports[$1]}" forge \
    "r$(($1 / rack_size + 1))" "$operator" "$record"
  worker_pid[$1]=$launched
  worker_id[$1]=$2
}

# start_entry INDEX: one process of the project, as deploy/system.toml runs it.
start_entry() {
  local settings=$work/entry-$1.ini
  cat >"$settings" <<END
[entry]
id = entry-$1
zone = z$1
stop_grace = 6s

[listen]
callers = ${callers[$1]}
ready = ${ready[$1]}
peers = ${peers[$1]}
metrics = ${metrics[$1]}

[store]
address = ${fronts[$1]}

[fleet]
address = $machines

[resources]
cpu_share = 1
cores = 1
memory_mb = 512
link_mbps = 1000
END
  cd "$repository"
  POMELOMILL_SETTINGS=$settings launch "entry-$1" target/pomelomill dispatch
  entry_pid[$1]=$launched
}

await_ready() {
  local it
  for ((it = 0; it < 80; ++it)); do
    [[ $(call "${ready[$1]}" GET /pomelomill/ready) == 200* ]] && return 0
    sleep 0.25
  done
  cannot_run "entry-$1 is not ready after 20 s"
}

# start_deployment WORKERS ENTRIES: the store, the workers, a configuration and
# the entries; returns when these are ready and run a task.
start_deployment() {
  local count=$1 entries=$2 it
  [ -x "$stand_in" ] || { echo "run review/build.sh first" >&2; exit 2; }
  [ -x "$repository/target/pomelomill" ] || {
    echo "build target/ with the command of deploy/system.toml first" >&2
    exit 2
  }
  : >"$record"
  work=$(mktemp -d)
  trap end_processes EXIT
  rack_size=${rack_size:-4}
  mapfile -t ports < <("$stand_in" ports $((count + 2 + 5 * entries)))
  local next=$count
  take() { taken=127.0.0.1:${ports[$next]}; next=$((next + 1)); }
  take; machines=$taken
  take; operator=$taken
  for ((it = 0; it < entries; ++it)); do
    take; fronts[it]=$taken
    take; callers[it]=$taken
    take; ready[it]=$taken
    take; peers[it]=$taken
    take; metrics[it]=$taken
  done
  launch store "$stand_in" store "$machines" "$operator" "${fronts[@]}"
  sleep 0.3
  put_config 1
  for ((it = 0; it < count; ++it)); do start_worker "$it" "i-$it-a"; done
  for ((it = 0; it < entries; ++it)); do start_entry "$it"; done
  for ((it = 0; it < entries; ++it)); do await_ready "$it"; done
  local job=00000000000000ff
  [ "$(submit 0 $job '{"spec":"ms=50","steps":[{"count":1,"cpu":100,"estimateMs":50}]}')" = 200 ] ||
    cannot_run "the first job is not accepted"
  [ "$(await_state 0 $job "complete|failed" 20)" = complete ] ||
    cannot_run "the first job is not complete"
}
