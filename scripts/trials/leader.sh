#!/usr/bin/env bash
# Measures how long reads are unavailable after the leader of three control
# processes is killed, frozen or terminated. Uses the addresses 127.11.0.1 to
# 127.11.0.3.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/lib.sh
rounds=4
# read_attempts is the maximum number of reads after one fault; each has a
# timeout of 0.5 s.
read_attempts=400
go build -o bin/lagoonshift ./cmd/lagoonshift
work=$(mktemp -d)
trap 'kill -KILL "${group_pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
leader() {
  cat "$work"/log-* | grep 'leader changed' | grep -v 'leader=""' | sort | tail -n 1 | sed 's/.*leader=control-\([0-9]\).*/\1/'
}
# read_status makes one linearizable read and prints its HTTP status. The token
# is not valid, so 401 means that the read was answered.
read_status() {
  curl -m 0.5 -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer none' "http://127.11.0.$1:7401/v1/settings" || true
}

group_init bin/lagoonshift 127.11.0 "$work" 3
for signal in KILL STOP TERM; do
  for _ in $(seq "$rounds"); do
    old=$(leader)
    other=$((old % 3 + 1))
    began=$(date +%s%N)
    kill -"$signal" "${group_pids[$old]}"
    for _ in $(seq "$read_attempts"); do
      [ "$(read_status "$other")" = 401 ] && break
    done
    ended=$(date +%s%N)
    echo "$signal of the leader: next read answered after $(((ended - began) / 1000000)) ms"
    if [ "$signal" = STOP ]; then
      kill -CONT "${group_pids[$old]}"
    else
      wait "${group_pids[$old]}" 2>/dev/null || true
      group_start "$old"
    fi
    sleep 2.5
  done
done
