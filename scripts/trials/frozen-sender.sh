#!/usr/bin/env bash
# Fault injection on real processes, not part of CI: suspends a sender between
# the check of its authority and the write of an order, and resumes it after its
# authority has expired and another process has sent an order to the engine, which
# ignores fencing tokens. Usage: frozen-sender.sh MODE FREEZES, where MODE is
#   guarded    the kernel timer is armed; no late order may take effect
#   unguarded  injected fault: only the clock is checked
#   short      guarded, resumed before the authority expires; all must arrive
set -euo pipefail
cd "$(dirname "$0")/../.."
mode=$1
freezes=$2
workers=4
folder=$(mktemp -d)
go build -o "$folder/lagoonshift" ./cmd/lagoonshift
go build -o "$folder/ordersender" ./scripts/trials/ordersender
pids=()
stop() { kill -TERM "${pids[@]}" 2>/dev/null || true; rm -rf "$folder"; }
trap stop EXIT

flags=(--freeze)
[ "$mode" = unguarded ] && flags+=(--unguarded)
[ "$mode" = short ] && flags+=(--lease 5s)

# await_stopped waits until the process is suspended, for 500 attempts.
await_stopped() {
  for _ in $(seq 500); do
    if [ "$(cut -d' ' -f3 "/proc/$1/stat" 2>/dev/null)" = T ]; then return; fi
    sleep 0.01
  done
  echo "process $1 was not suspended in 500 attempts" >&2
}

worker() {
  local url=$1 count=$2 killed=0 finished=0
  for i in $(seq "$count"); do
    "$folder/ordersender" send --engine "$url" --id "old-$i" --fence $((2 * i)) --role prefill "${flags[@]}" >/dev/null 2>&1 &
    local sender=$!
    await_stopped "$sender"
    if [ "$mode" != short ]; then
      sleep 0.25
      "$folder/ordersender" send --engine "$url" --id "new-$i" --fence $((2 * i + 1)) --role decode >/dev/null
      sleep 0.03
    fi
    kill -CONT "$sender" 2>/dev/null || true
    if wait "$sender" 2>/dev/null; then finished=$((finished + 1)); else killed=$((killed + 1)); fi
    sleep 0.03
    if [ "$mode" = short ]; then
      "$folder/ordersender" send --engine "$url" --id "new-$i" --fence $((2 * i + 1)) --role decode >/dev/null
      sleep 0.03
    fi
  done
  echo "$killed $finished $("$folder/ordersender" judge --engine "$url")"
}

running=()
for w in $(seq $workers); do
  url="http://127.13.0.$w:9000"
  "$folder/lagoonshift" fake engine --listen "127.13.0.$w:9000" --model drafting --no-checks-fencing --change-time 5ms &
  pids+=($!)
  until curl -fs "$url/v1/state" >/dev/null; do sleep 0.05; done
  worker "$url" $((freezes / workers)) >"$folder/result-$w" &
  running+=($!)
done
wait "${running[@]}"
cat "$folder"/result-* | awk -v mode="$mode" '{k += $1; f += $2; a += $3; e += $4; l += $5}
  END {printf "%s: %d freezes, %d senders killed, %d finished, %d orders arrived, %d took effect, %d effects of late orders\n", mode, k + f, k, f, a, e, l}'
