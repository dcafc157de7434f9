#!/usr/bin/env bash
# Fault injection on real processes, not part of CI: runs the reseat-works example
# under load while an operator changes roles back and forth on engines that check
# and that ignore fencing tokens. Every control process is suspended for longer
# than its authority lasts and later killed, an engine crashes repeatedly, one is
# drained and one is handed over to the old system and back. Prints the load
# report, the state of the engines and the summary of their order records.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/lib.sh
net=127.13.1
folder=$(mktemp -d)
sed "s/127\.0\.1\./$net./g; s#data/reseat-works#$folder/data#g" examples/reseat-works/deployment.jsonc >"$folder/deployment.jsonc"
sed "s/127\.0\.1\./$net./g" examples/reseat-works/settings.jsonc >"$folder/settings.jsonc"
sed "s/127\.0\.1\./$net./g; s/\"duration\": \"30s\"/\"duration\": \"100s\"/; s#, \"http://$net.13:8080\"##" examples/reseat-works/mix.jsonc >"$folder/mix.jsonc"
go build -o "$folder/lagoonshift" ./cmd/lagoonshift
go build -o "$folder/ordersender" ./scripts/trials/ordersender
binary=$folder/lagoonshift
token=(--token-file examples/reseat-works/operator.token)
for i in 1 2 3; do token+=(--admin "http://$net.$i:7401"); done

declare -A pids
start() {
  local name=$1
  shift
  "$binary" "$@" >>"$folder/$name.log" 2>&1 &
  pids[$name]=$!
}
stop() {
  kill -CONT "${pids[@]}" 2>/dev/null || true
  kill -TERM "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  echo "logs in $folder"
}
trap stop EXIT
control() { start "control-$1" control --deployment "$folder/deployment.jsonc" --name "control-$1"; }
engine() { "$binary" engine "$@" "${token[@]}" >>"$folder/operator.log" 2>&1 || echo "engine $*: command failed, see operator.log"; }

for i in $(seq 12); do
  checks=--checks-fencing
  if [ $((i % 2)) = 0 ]; then checks=--no-checks-fencing; fi
  start "engine-$i" fake engine --listen "$net.$((100 + i)):9000" --model drafting $checks --change-time 2s
done
for i in 1 2 3; do start "service-$i" fake service --listen "$net.$((150 + i)):9100"; done
"$binary" control init --deployment "$folder/deployment.jsonc" --name control-1
for i in 1 2 3; do control $i; done
for i in 1 2 3; do await curl -fs "http://$net.$i:7401/readyz"; done
await "$binary" config apply "${token[@]}" --deployment "$folder/deployment.jsonc" "$folder/settings.jsonc"
for i in 1 2; do start "entry-$i" entry --deployment "$folder/deployment.jsonc" --name "entry-$i"; done
for i in 1 2; do await curl -fs "http://$net.$((10 + i)):8081/readyz"; done
"$binary" load run "$folder/mix.jsonc" --json "$folder/load.json" >"$folder/load.log" 2>&1 &
load=$!

sleep 5
engine role engine-01 decode
engine role engine-02 decode
engine drain engine-03
engine hand-over engine-04 old-system
for i in 1 2 3; do
  sleep 4
  kill -STOP "${pids[control-$i]}"
  sleep 8
  kill -CONT "${pids[control-$i]}"
  role=prefill
  if [ $i = 2 ]; then role=decode; fi
  engine role engine-01 $role
  engine role engine-02 $role
  sleep 7
  curl -fs -X POST "http://$net.102:9000/v1/crash"
done
engine hand-over engine-04 lagoonshift
for i in 1 2 3; do
  kill -KILL "${pids[control-$i]}"
  sleep 4
  control $i
  await curl -fs "http://$net.$i:7401/readyz"
done
wait $load || echo "load run failed, see load.log"
tail -n 25 "$folder/load.log"
sleep 15
"$binary" engine list "${token[@]}"
for i in $(seq 12); do
  echo "engine-$i: arrivals, effects, late, violations: $("$folder/ordersender" judge --engine "http://$net.$((100 + i)):9000")"
done
