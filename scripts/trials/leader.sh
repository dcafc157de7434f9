#!/usr/bin/env bash
# Measures how long reads are not answered after the leader of three control
# processes is killed, frozen or stopped. Uses 127.11.0.1 to 127.11.0.3.
set -euo pipefail
cd "$(dirname "$0")/../.."
rounds=4
# read_attempts bounds the reads after one event, each at most 0.5 s long.
read_attempts=400
go build -o bin/lagoonshift ./cmd/lagoonshift
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
leader() {
  cat "$work"/log-* | grep 'leader changed' | grep -v 'leader=""' | sort | tail -n 1 | sed 's/.*leader=control-\([0-9]\).*/\1/'
}
# read_status makes one linearizable read; 401 is the answer to a wrong token.
read_status() {
  curl -m 0.5 -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer none' "http://127.11.0.$1:7401/v1/settings" || true
}

bin/lagoonshift control init --deployment "$work/deployment.jsonc" --name control-1
for i in 1 2 3; do start "$i"; done
sleep 6
for signal in KILL STOP TERM; do
  for _ in $(seq "$rounds"); do
    old=$(leader)
    other=$((old % 3 + 1))
    began=$(date +%s%N)
    kill -"$signal" "${pids[$old]}"
    for _ in $(seq "$read_attempts"); do
      [ "$(read_status "$other")" = 401 ] && break
    done
    ended=$(date +%s%N)
    echo "$signal of the leader: next read answered after $(((ended - began) / 1000000)) ms"
    if [ "$signal" = STOP ]; then
      kill -CONT "${pids[$old]}"
    else
      wait "${pids[$old]}" 2>/dev/null || true
      start "$old"
    fi
    sleep 2.5
  done
done
