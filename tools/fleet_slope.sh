#!/usr/bin/env bash
# Measures what control costs a real node at several fleet sizes, on loopback.
#   tools/fleet_slope.sh [--build DIR] [--seconds N] [SIZE ...]
# One line a size: processor time, memory and control bytes a node and second, platform calls a second.
set -euo pipefail
cd "$(dirname "$0")/.."

build=build
seconds=20
while [ $# -gt 0 ]; do
  case "$1" in
    --build) build=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    --help) sed -n '2,4p' "$0"; exit 0 ;;
    *) break ;;
  esac
done
sizes=("$@")
[ ${#sizes[@]} != 0 ] || sizes=(4 12 36)

work=$(mktemp -d)

# Settings of node number $1.
write_settings() {
  cat <<YAML
vm_name: vm-$1
region: region-1
failure_domain: domain-$(($1 % 4))
listen:
  link: 127.0.0.1:$((28000 + $1))
  callers: [127.0.0.1:$((29000 + $1))]
  control: 127.0.0.1:$((27000 + $1))
platform: [127.0.0.1:26999]
seeds: [127.0.0.1:28001, 127.0.0.1:28002]
log_level: error
YAML
}

pids=()
stop_all() {
  [ ${#pids[@]} = 0 ] || kill -9 "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# Control bytes of the first $1 nodes so far, by their status pages.
control_bytes() {
  local n=0 it
  for it in $(seq 1 "$1"); do
    local sum
    sum=$(curl -s "127.0.0.1:$((27000 + it))/status" |
      sed -n 's/.*"\(gossipBytes\|linkBytes\)": \([0-9]*\).*/\2/p' | paste -sd+ - | bc)
    n=$((n + ${sum:-0}))
  done
  echo "$n"
}

# Clock ticks that the processes after the first (the platform) have used.
cpu_ticks() {
  local n=0 it
  for it in "${pids[@]:1}"; do
    n=$((n + $(awk '{print $14 + $15}' "/proc/$it/stat")))
  done
  echo "$n"
}

platform_calls() {
  curl -s 127.0.0.1:26999/counts | tr ',{}' '\n' | sed -n 's/.*: *\([0-9]*\)$/\1/p' | paste -sd+ - | bc
}

printf '%6s %12s %10s %12s %14s\n' nodes 'cpu %/node' 'RSS MB' 'bytes/s/node' 'platform/s'
for size in "${sizes[@]}"; do
  "$build/standin_platform" --listen 127.0.0.1:26999 >/dev/null 2>&1 &
  pids+=($!)
  sleep 0.5
  for it in $(seq 1 "$size"); do
    write_settings "$it" >"$work/node-$it.yaml"
    "$build/mwnode" --settings "$work/node-$it.yaml" >"$work/node-$it.log" 2>&1 &
    pids+=($!)
  done
  sleep 15
  bytes=$(control_bytes "$size")
  ticks=$(cpu_ticks)
  calls=$(platform_calls)
  begin=$(date +%s.%N)
  sleep "$seconds"
  span=$(echo "$(date +%s.%N) - $begin" | bc)
  rss=0
  for it in "${pids[@]:1}"; do
    rss=$((rss + $(sed -n 's/VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$it/status")))
  done
  printf '%6d %12.3f %10.1f %12.0f %14.1f\n' "$size" \
    "$(echo "($(cpu_ticks) - $ticks) * 100 / $(getconf CLK_TCK) / $span / $size" | bc -l)" \
    "$(echo "$rss / 1024 / $size" | bc -l)" \
    "$(echo "($(control_bytes "$size") - $bytes) / $span / $size" | bc -l)" \
    "$(echo "($(platform_calls) - $calls) / $span" | bc -l)"
  stop_all
done
