#!/usr/bin/env bash
# Kills, freezes and stops control processes and deletes their folders while
# ledgerhistory reserves keys through them and checks the answers. Uses
# 127.11.0.1 to 127.11.0.3. Argument: rounds of disturbances, each about 5 s.
set -euo pipefail
cd "$(dirname "$0")/../.."
rounds=${1:-8}
go build -o bin/lagoonshift ./cmd/lagoonshift
go build -o bin/ledgerhistory ./scripts/trials/ledgerhistory
work=$(mktemp -d)
declare -A pids
trap 'kill -KILL "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT

control=""
for i in 1 2 3; do
  control+="{\"name\": \"control-$i\", \"zone\": \"a\", \"peer_address\": \"127.11.0.$i:7400\", \"admin_address\": \"127.11.0.$i:7401\", \"data_folder\": \"$work/$i\"},"
done
cat > "$work/deployment.jsonc" <<JSON
{"deployment": "trial", "region": "r", "zones": ["a"], "control": [$control],
 "entries": [{"name": "entry-1", "zone": "a", "caller_address": "127.11.0.11:8080", "admin_address": "127.11.0.11:8081"}]}
JSON
start() {
  bin/lagoonshift control --deployment "$work/deployment.jsonc" --name "control-$1" >> "$work/log-$1" 2>&1 &
  pids[$1]=$!
}
bin/lagoonshift control init --deployment "$work/deployment.jsonc" --name control-1
for i in 1 2 3; do start "$i"; done
sleep 6
bin/ledgerhistory $((rounds * 5)) 127.11.0.1:7400 127.11.0.2:7400 127.11.0.3:7400 &
history=$!
for round in $(seq "$rounds"); do
  i=$((round % 3 + 1))
  echo "round $round: replica $i" >&2
  case $((round % 4)) in
    0) kill -TERM "${pids[$i]}"; wait "${pids[$i]}" || true; start "$i" ;;
    1) kill -KILL "${pids[$i]}"; wait "${pids[$i]}" 2>/dev/null || true; sleep 0.5; start "$i" ;;
    2) kill -STOP "${pids[$i]}"; sleep 2.5; kill -CONT "${pids[$i]}" ;;
    3) kill -KILL "${pids[$i]}"; wait "${pids[$i]}" 2>/dev/null || true; rm -rf "${work:?}/$i"; start "$i" ;;
  esac
  sleep 4
done
wait "$history"
