#!/usr/bin/env bash
# Starts a local deployment on loopback addresses: fake engines and services, a
# fake old system and platform, three control processes and eight entries.
# Ctrl-C stops it.
#
#   scripts/deployment.sh reseat-works|tui-lane
#
# If READY_FILE is set, the script creates that file when the deployment is
# ready.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

name=${1:?missing name of the example, reseat-works or tui-lane}
example=examples/$name
case $name in
  reseat-works) net=127.0.1 engines=12 model=drafting loose=2 booking=booking other=stock ;;
  tui-lane) net=127.0.2 engines=18 model=gardens loose=3 booking=visits other=jobs ;;
  *) echo "unknown example: $name" >&2; exit 2 ;;
esac
services=3
controls=3
entries=8
admin=http://$net.1:7401
logs=out/$name
binary=bin/lagoonshift

mkdir -p "$logs" data
rm -f "$logs"/*.log "$logs"/*.pid
go build -o $binary ./cmd/lagoonshift
$binary check $example/deployment.jsonc

entry_pids=()
control_pids=()
stand_in_pids=()

# stop terminates the entries first, then the control processes, then the fakes,
# so that no request is interrupted.
stop() {
  trap - EXIT INT TERM
  end_all "${entry_pids[@]}"
  end_all "${control_pids[@]}"
  end_all "${stand_in_pids[@]}"
}
trap stop EXIT
trap 'exit 0' INT TERM

# start runs one process in the background with its own log and PID file, and
# appends its PID to the named array.
start() {
  local -n list=$1
  local process=$2
  shift 2
  $binary "$@" >>"$logs/$process.log" 2>&1 &
  list+=($!)
  echo $! >"$logs/$process.pid"
}

# Engines whose number is a multiple of $loose ignore fencing tokens, as in the
# settings of the example.
for i in $(seq $engines); do
  fencing=--checks-fencing
  if ((i % loose == 0)); then fencing=--no-checks-fencing; fi
  start stand_in_pids engine-$i fake engine --listen $net.$((100 + i)):9000 --name "$(printf 'engine-%02d' "$i")" --model $model $fencing \
    --weight-store http://$net.62:9300
done
for i in $(seq $services); do
  start stand_in_pids service-$i fake service --listen $net.$((150 + i)):9100
done
old_system=(--listen $net.61:8080 --service "$booking=http://$net.151:9100" --service "$other=http://$net.153:9100")
for i in $(seq $engines); do old_system+=(--engine http://$net.$((100 + i)):9000); done
for i in $(seq $entries); do old_system+=(--lagoonshift http://$net.$((10 + i)):8080); done
start stand_in_pids old-system fake old-system "${old_system[@]}"
start stand_in_pids platform fake platform --listen $net.62:9300
if [ ! -d data/"$name"/control-1 ]; then
  $binary control init --deployment $example/deployment.jsonc --name control-1
fi
for i in $(seq $controls); do
  start control_pids control-$i control --deployment $example/deployment.jsonc --name control-$i
done
for i in $(seq $controls); do
  await curl -fs http://$net.$i:7401/readyz
done
$binary config apply --admin $admin --token-file $example/operator.token \
  --deployment $example/deployment.jsonc $example/settings.jsonc
for i in $(seq $entries); do
  start entry_pids entry-$i entry --deployment $example/deployment.jsonc --name entry-$i
done
for i in $(seq $entries); do
  await curl -fs http://$net.$((10 + i)):8081/readyz
done
for pid in "${entry_pids[@]}" "${control_pids[@]}" "${stand_in_pids[@]}"; do
  if ! kill -0 "$pid" 2>/dev/null; then
    echo "process $pid of the deployment exited; see the PID files and logs in $logs" >&2
    exit 1
  fi
done
echo "$name serves at $net.11:8080 to $net.$((10 + entries)):8080; administration at $admin; logs in $logs"
if [ -n "${READY_FILE:-}" ]; then : >"$READY_FILE"; fi
wait
