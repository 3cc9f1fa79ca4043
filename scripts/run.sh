#!/usr/bin/env bash
# Demonstration of the whole path as separate processes on loopback: the
# store, the platform and the endpoints as fakes, three entries, a load with a
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
[ -n "${KEEP:-}" ] || trap stop_all EXIT

# One HTTP exchange by bash itself: the fresh machine has no HTTP command.
http() {  # METHOD PORT TARGET
  local response
  exec 9<>"/dev/tcp/127.0.0.1/$2" || return 1
  printf '%s %s HTTP/1.1\r\nHost: localhost\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' "$1" "$3" >&9
  response=$(cat <&9)
  exec 9>&-
  printf '%s' "${response##*$'\r\n\r\n'}"
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
entries = 127.0.0.1:18101 127.0.0.1:18201 127.0.0.1:18301
[store]
url = http://127.0.0.1:$store_port
[platform]
url = http://127.0.0.1:$platform_port
INI
}

start store "$bin/tools/fake_store/fake_store" --port $store_port
start platform "$bin/tools/fake_platform/fake_platform" --port $platform_port \
  --fleet "$out/fleet.json" --tell-endpoints --list-lag-ms 1000 --reboot-ms 3000 --drain-ms 200
start endpoints "$bin/tools/fake_endpoint/fake_endpoint" --port $first_endpoint \
  --count $vms --service-us 40000 --cold-start-ms 1000
sleep 0.5

# The example with a cycle that lets the wave run at once; without it, all
# VMs count as never maintained.
sed 's/^cold_start = .*/cold_start = 2s/' examples/banderuole.ini >"$out/fleet.ini"
"$bin/app/pomelomill" check "$out/fleet.ini"

for n in 1 2 3; do
  settings $n entry-$n
  start entry-$n "$bin/app/pomelomill" serve "$out/entry-$n.ini"
done
"$bin/app/pomelomill" apply "$out/fleet.ini" --store http://127.0.0.1:$store_port --author demo \
  --wait --entry 127.0.0.1:18102 --entry 127.0.0.1:18202 --entry 127.0.0.1:18302
for n in 1 2 3; do
  wait_for 30 "$bin/app/pomelomill" status --entry 127.0.0.1:18${n}02
done
ready() { [[ $(http GET "$1" /-/ready) == *'"ready":true'* ]]; }
for n in 1 2 3; do wait_for 30 ready 18${n}02; done
echo "run.sh: three entries are ready"
