#!/usr/bin/env bash
# Linearizability check under faults: kills, freezes and stops control processes
# and deletes their data folders while ledgerhistory reserves ledger keys through
# them and checks the answers. Uses the addresses from 127.11.0.1 on. Arguments:
# the number of rounds, each with one fault and about 5 s long, and the number of
# replicas.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/lib.sh
rounds=${1:-8}
replicas=${2:-3}
go build -o bin/lagoonshift ./cmd/lagoonshift
go build -o bin/ledgerhistory ./scripts/trials/ledgerhistory
work=$(mktemp -d)
trap 'kill -KILL "${group_pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
group_init bin/lagoonshift 127.11.0 "$work" "$replicas"
addresses=()
for i in $(seq "$replicas"); do addresses+=("127.11.0.$i:7400"); done
bin/ledgerhistory $((rounds * 5)) "${addresses[@]}" &
history=$!
for round in $(seq "$rounds"); do
  i=$((round % replicas + 1))
  echo "round $round: fault at replica $i" >&2
  case $((round % 4)) in
    0) kill -TERM "${group_pids[$i]}"; wait "${group_pids[$i]}" || true; group_start "$i" ;;
    1) kill -KILL "${group_pids[$i]}"; wait "${group_pids[$i]}" 2>/dev/null || true; sleep 0.5; group_start "$i" ;;
    2) kill -STOP "${group_pids[$i]}"; sleep 2.5; kill -CONT "${group_pids[$i]}" ;;
    3) kill -KILL "${group_pids[$i]}"; wait "${group_pids[$i]}" 2>/dev/null || true; rm -rf "${work:?}/$i"; group_start "$i" ;;
  esac
  sleep 4
done
wait "$history"
