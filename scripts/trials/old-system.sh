#!/usr/bin/env bash
# Trial on real processes: moves the traffic share of two customers from this
# system to a fake old one and back while they send bookings and completions.
# Prints the load report and how many keys ran, and ran more than once, by the
# records of the services.
#
#   scripts/trials/old-system.sh
#
# NET is the loopback network for all addresses; 127.14.3 by default.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/lib.sh

net=${NET:-127.14.3}
example=examples/reseat-works
engines=12
entries=8
controls=3
shares=(0.3 1 0.5 0 1 0)
# step is the time between changes of the share, in seconds.
step=7

go build -o bin/lagoonshift ./cmd/lagoonshift
binary=$PWD/bin/lagoonshift
folder=$(mktemp -d)
admin=(--admin "http://$net.1:7401" --admin "http://$net.2:7401" --admin "http://$net.3:7401" --token-file "$example/operator.token")
entry_pids=()
other_pids=()

stop() {
  end_all "${entry_pids[@]}"
  end_all "${other_pids[@]}"
  rm -rf "$folder"
}
trap stop EXIT

# start runs a process in the background and appends its PID to the named array.
start() {
  local -n list=$1
  shift
  "$binary" "$@" >>"$folder/log" 2>&1 &
  list+=($!)
}

# share applies settings that send this fraction of both customers' requests to
# the old system.
share() {
  sed -e "s/\"share\": \([0-9]*\)}/\"share\": \1, \"old_system_share\": $1}/" "$folder/settings.jsonc" >"$folder/now.jsonc"
  "$binary" config apply --wait "${admin[@]}" "$folder/now.jsonc" | tail -1
}

sed -e "s/127\.0\.1\./$net./g" -e "s|data/reseat-works|$folder|" -e '/"platform"/d' $example/deployment.jsonc >"$folder/deployment.jsonc"
sed -e "s/127\.0\.1\./$net./g" $example/settings.jsonc >"$folder/settings.jsonc"
sed -e "s/127\.0\.1\./$net./g" -e 's/"duration": "30s"/"duration": "48s"/' -e 's/"repeat": 0.3/"repeat": 0.5/' $example/mix.jsonc >"$folder/mix.jsonc"

old=(--listen "$net.61:8080" --service "booking=http://$net.151:9100" --service "stock=http://$net.153:9100")
for i in $(seq $engines); do
  start other_pids fake engine --listen "$net.$((100 + i)):9000" --name "$(printf 'engine-%02d' "$i")" --model drafting
  old+=(--engine "http://$net.$((100 + i)):9000")
done
for i in 1 2 3; do start other_pids fake service --listen "$net.$((150 + i)):9100"; done
for i in $(seq $entries); do old+=(--lagoonshift "http://$net.$((10 + i)):8080"); done
start other_pids fake old-system "${old[@]}"
"$binary" control init --deployment "$folder/deployment.jsonc" --name control-1
for i in $(seq $controls); do start other_pids control --deployment "$folder/deployment.jsonc" --name "control-$i"; done
for i in $(seq $controls); do await curl -fs "http://$net.$i:7401/readyz"; done
share 0
for i in $(seq $entries); do start entry_pids entry --deployment "$folder/deployment.jsonc" --name "entry-$i"; done
for i in $(seq $entries); do await curl -fs "http://$net.$((10 + i)):8081/readyz"; done

"$binary" load run "$folder/mix.jsonc" 2>/dev/null &
load=$!
for s in "${shares[@]}"; do
  sleep $step
  share "$s"
done
wait $load
for i in 1 2; do curl -fs "http://$net.$((150 + i)):9100/record"; done |
  grep -o '"customer":"[^"]*","idempotency_key":"[^"]*"' | sort | uniq -c |
  awk '{keys++; if ($1 > 1) doubled++} END {printf "keys run: %d, of these more than once: %d\n", keys, doubled}'
"$binary" ledger list --unknown "${admin[@]}" | tail -3
