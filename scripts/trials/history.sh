#!/usr/bin/env bash
# Kills, freezes and stops control processes and deletes their folders while
# ledgerhistory reserves keys through them and checks the answers. Uses
# 127.11.0.1 to 127.11.0.3. Argument: rounds of disturbances, each about 5 s.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/lib.sh
rounds=${1:-8}
go build -o bin/lagoonshift ./cmd/lagoonshift
go build -o bin/ledgerhistory ./scripts/trials/ledgerhistory
work=$(mktemp -d)
trap 'kill -KILL "${trio_pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
trio_init bin/lagoonshift 127.11.0 "$work"
bin/ledgerhistory $((rounds * 5)) 127.11.0.1:7400 127.11.0.2:7400 127.11.0.3:7400 &
history=$!
for round in $(seq "$rounds"); do
  i=$((round % 3 + 1))
  echo "round $round: replica $i" >&2
  case $((round % 4)) in
    0) kill -TERM "${trio_pids[$i]}"; wait "${trio_pids[$i]}" || true; trio_start "$i" ;;
    1) kill -KILL "${trio_pids[$i]}"; wait "${trio_pids[$i]}" 2>/dev/null || true; sleep 0.5; trio_start "$i" ;;
    2) kill -STOP "${trio_pids[$i]}"; sleep 2.5; kill -CONT "${trio_pids[$i]}" ;;
    3) kill -KILL "${trio_pids[$i]}"; wait "${trio_pids[$i]}" 2>/dev/null || true; rm -rf "${work:?}/$i"; trio_start "$i" ;;
  esac
  sleep 4
done
wait "$history"
