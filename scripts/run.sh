#!/usr/bin/env bash
# Demonstration of the whole path as separate processes on loopback: the
# store, the platform and the endpoints as fakes, seven entries, a load with a
# peak in each queue in turn, a maintenance wave, one drained VM, one replaced
# entry and one store outage. Ends with a report; exit code 0 only when no
# figure of it is wrong.
#   scripts/run.sh [--preset release|dev] [--seconds N]
set -euo pipefail
cd "$(dirname "$0")/.."

preset=release
seconds=100
while [ $# -gt 0 ]; do
  case $1 in
    --preset) preset=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    *) echo "run.sh: unknown option $1" >&2; exit 2 ;;
  esac
done

scripts/build.sh "$preset" pomelomill fake_store fake_platform fake_endpoint load >/dev/null
bin=build/$preset
out=out/run
rm -rf "$out"
mkdir -p "$out"

pids=()
declare -A pid_of
start() {  # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=($!)
}
stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

# One HTTP exchange by bash itself: the fresh machine has no HTTP command.
http() {  # METHOD PORT TARGET
  local line length=0
  exec 9<>"/dev/tcp/127.0.0.1/$2" || return 1
  printf '%s %s HTTP/1.1\r\nHost: localhost\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' "$1" "$3" >&9
  while read -r -t 5 -u 9 line && line=${line%$'\r'} && [ -n "$line" ]; do
    case ${line,,} in content-length:*) length=${line#*: } ;; esac
  done
  [ "$length" -gt 0 ] && head -c "$length" <&9
  exec 9>&-
}
wait_for() {  # SECONDS COMMAND...
  local n=$(($1 * 5))
  shift
  until "$@" >/dev/null 2>&1; do
    n=$((n - 1))
    [ $n -gt 0 ] || { echo "run.sh: gave up waiting for: $*" >&2; return 1; }
    sleep 0.2
  done
}

store_port=17000
platform_port=17100
first_endpoint=21000
vms=49
entries=7
zones=(lombardy-a lombardy-b lombardy-c)

{
  printf '{"vms": ['
  for ((i = 1; i <= vms; i++)); do
    rack=$(((i - 1) / 4))
    [ $i -gt 1 ] && printf ','
    printf '{"id": "lom-%02d", "address": "127.0.0.1:%d", "zone": "%s", "rack": "rack-%02d"}' \
      "$i" $((first_endpoint + i - 1)) "${zones[rack % 3]}" "$rack"
  done
  printf ']}\n'
} >"$out/fleet.json"

settings() {  # NUMBER ENTRY
  local base=$((18000 + 100 * $1))
  cat >"$out/$2.ini" <<INI
[entry]
id = $2
region = lombardy
zone = ${zones[($1 - 1) % 3]}
[listen]
callers = 127.0.0.1:$base
peers = 127.0.0.1:$((base + 1))
admin = 127.0.0.1:$((base + 2))
[peers]
entries =$(for n in $(seq $entries); do printf " 127.0.0.1:18%d01" "$n"; done)
[store]
url = http://127.0.0.1:$store_port
[platform]
url = http://127.0.0.1:$platform_port
INI
}

start store "$bin/tools/fake_store/fake_store" --port $store_port
start platform "$bin/tools/fake_platform/fake_platform" --port $platform_port \
  --fleet "$out/fleet.json" --tell-endpoints --list-lag-ms 1000 --reboot-ms 6000 --drain-ms 200
start endpoints "$bin/tools/fake_endpoint/fake_endpoint" --port $first_endpoint \
  --count $vms --service-us 200000 --cold-start-ms 2000
sleep 0.5

# The example with the cold start of the fakes (a reboot of 6 s and 2 s until
# the endpoint serves) and with the rates of the load below.
rates='silhouette/proof:70 gilding/preview:70 crest/sketch:85
  metalwork/quote:80 metalwork/order:15:keyed administration/files:60'
# Orders with keys of the caller need the store; their rate stays as declared,
# so that the outage takes a part of their budget.
claimed=metalwork/commission:0.5:claimed
declare_rates() {
  local q script='s/^cold_start = .*/cold_start = 8s/;/^service_time/s/=.*/= 200ms/;'
  for q in $rates; do
    q=${q%:keyed}
    script+="\\|^\\[queue ${q%:*}\\]|,/^mean_rate/s/^mean_rate.*/mean_rate = ${q#*:}/;"
  done
  sed "$script" examples/banderuole.ini
}
declare_rates >"$out/fleet.ini"
"$bin/app/pomelomill" check "$out/fleet.ini"

for n in $(seq $entries); do
  settings $n entry-$n
  start entry-$n "$bin/app/pomelomill" serve "$out/entry-$n.ini"
done
"$bin/app/pomelomill" apply "$out/fleet.ini" --store http://127.0.0.1:$store_port --author demo \
  --wait $(for n in $(seq $entries); do printf ' --entry 127.0.0.1:18%d02' "$n"; done)
for n in $(seq $entries); do
  wait_for 30 "$bin/app/pomelomill" status --entry 127.0.0.1:18${n}02
done
ready() { [[ $(http GET "$1" /-/ready) == *'"ready":true'* ]]; }
for n in $(seq $entries); do wait_for 30 ready 18${n}02; done
echo "run.sh: $entries entries are ready"

field() {  # NAME: first value of a JSON field on standard input
  grep -o "\"$1\":[^,}]*" | head -1 | cut -d: -f2
}
holder_port() {
  local n
  for n in $(seq $entries); do
    if [ "$(http GET 18${n}02 /-/status | field controls_region)" = true ]; then
      echo 18${n}02
      return
    fi
  done
  return 1
}

# At 200 ms a request, a peak of five times the mean takes nearly all slots of
# the pool, so that each VM that is out makes requests wait.
load_args=(--seconds "$seconds" --peak-seconds 5 --seed 1
  --declarations "$out/fleet.ini" --csv "$out/calls.csv"
  --endpoint $first_endpoint --endpoints $vms)
for n in $(seq $entries); do
  load_args+=(--target http://127.0.0.1:18${n}00 --ready http://127.0.0.1:18${n}02/-/ready)
done
for q in $rates $claimed; do load_args+=(--queue "$q"); done
start load "$bin/tools/load/load" "${load_args[@]}"
load_pid=${pid_of[load]}

sleep $((seconds / 10))
drained=lom-49
"$bin/app/pomelomill" drain $drained --entry 127.0.0.1:18102 ||
  echo "run.sh: $drained is already in a wave"

sleep $((seconds / 10))
echo "run.sh: entry-3 is replaced"
kill -TERM "${pid_of[entry-3]}"
wait "${pid_of[entry-3]}" && echo "run.sh: entry-3 has ended gracefully"
start entry-3 "$bin/app/pomelomill" serve "$out/entry-3.ini"
wait_for 60 ready 18302
echo "run.sh: entry-3 is ready again"

sleep $((seconds / 10))
echo "run.sh: the store is down for $((seconds / 5)) s"
http POST $store_port "/admin/down?on=1" >/dev/null
sleep $((seconds / 5))
http POST $store_port "/admin/down?on=0" >/dev/null
echo "run.sh: the store is back"

load_rc=0
wait "$load_pid" || load_rc=$?

echo
echo "Requests, by what callers were told and what the endpoints recorded:"
cat "$out/load.log"
cut=0
for ((i = 0; i < vms; i++)); do
  n=$(http GET $((first_endpoint + i)) /-/counters | grep -o '"cut": [0-9]*' | cut -d' ' -f2)
  cut=$((cut + n))
done
wait_for 30 holder_port
port=$(holder_port)
status=$(http GET "$port" /-/status)
reboots=$(http GET $platform_port /-/admin/effects | grep -o reboot | wc -l)
echo
echo "planned stops (reboots done by the platform): $reboots"
echo "requests cut by planned stops: $cut"
echo "moves opened by the holder: $(field moves <<<"$status")"
echo "configuration revision: $(field config_revision <<<"$status")"
echo "region state: $(field state_bytes <<<"$status") bytes, version $(field state_version <<<"$status")"
echo "wave: $(grep -o '"waves":\[[^]]*\]' <<<"$status")"
# The sum of all kinds of calls is the one that stands before "watch".
calls=$(http GET $store_port /admin/counters | grep -o '"started": *[0-9]*, *"watch"' | grep -o '[0-9]*' || echo 0)
echo "store: $calls calls in ${SECONDS} s"

failed=0
[ $load_rc -eq 0 ] || { echo "run.sh: a wrong, doubled or falsely refused request, or a budget that is not met" >&2; failed=1; }
[ "$cut" -eq 0 ] || { echo "run.sh: planned stops cut requests" >&2; failed=1; }
[ "$reboots" -gt 0 ] || { echo "run.sh: no VM was maintained" >&2; failed=1; }
exit $failed
