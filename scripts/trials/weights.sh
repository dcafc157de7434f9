#!/usr/bin/env bash
# Trial on real processes: all engines of the reseat-works example load weights
# from a weight store with a limit of 1 GB/s in total, while the leader of the
# control processes is killed. Prints the usage that the store recorded; the limit
# must not be exceeded.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/lib.sh
net=127.0.1
engines=12
controls=3
rate=1000000000
logs=out/reseat-works
example=examples/reseat-works
rm -rf data/reseat-works out/reseat-works.ready
mkdir -p out
READY_FILE=out/reseat-works.ready scripts/deployment.sh reseat-works &
deployment=$!
trap 'end_all $deployment' EXIT
until [ -e out/reseat-works.ready ]; do kill -0 $deployment; sleep 0.2; done

admin=(--token-file $example/operator.token)
for i in $(seq $controls); do admin+=(--admin "http://$net.$i:7401"); done
sed -e "s/\"ledger_retention\"/\"weight_store_rate\": $rate, &/" \
  -e 's/"min_prefill": 1,/&"weights": [{"kind": "adapter", "name": "notes", "version": "2"}],/' \
  $example/settings.jsonc >out/weights.jsonc
bin/lagoonshift config apply "${admin[@]}" --wait out/weights.jsonc | tail -1

# loaded prints the number of engines that have loaded the weights.
loaded() {
  local n=0
  for i in $(seq $engines); do
    if curl -fs "http://$net.$((100 + i)):9000/v1/state" | grep -q '"name":"notes"'; then n=$((n + 1)); fi
  done
  echo $n
}
# kill_leader kills the leader of the control processes, if there is one.
kill_leader() {
  for i in $(seq $controls); do
    if curl -fs "http://$net.$i:7401/metrics" | grep -q '^lagoonshift_control_leads{.*} 1'; then
      kill -KILL "$(cat $logs/control-$i.pid)"
      echo "killed leader control-$i with $(loaded) engines loaded"
      return
    fi
  done
}
sleep 3
kill_leader
for _ in $(seq 150); do
  if [ "$(loaded)" = $engines ]; then break; fi
  sleep 1
done
echo "engines loaded: $(loaded) of $engines"
curl -fs http://$net.62:9300/v1/weights/usage
