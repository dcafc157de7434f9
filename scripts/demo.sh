#!/usr/bin/env bash
# Starts a local deployment, streams two completions, sends one booking with
# the same idempotency key through two entries, runs a short load with a changing
# mix and prints its report.
#
#   scripts/demo.sh [reseat-works|tui-lane]
set -euo pipefail
cd "$(dirname "$0")/.."

name=${1:-reseat-works}
case $name in
  reseat-works) net=127.0.1 ;;
  tui-lane) net=127.0.2 ;;
  *) echo "unknown example: $name" >&2; exit 2 ;;
esac
mkdir -p out
ready=out/$name.ready
rm -f $ready
READY_FILE=$ready scripts/deployment.sh "$name" &
deployment=$!
trap 'kill -TERM $deployment 2>/dev/null || true; wait' EXIT
until [ -e $ready ]; do
  kill -0 $deployment
  sleep 0.2
done

# ask_address prints the first address that an entry returns to a new client.
ask_address() {
  curl -fs "http://$net.1$1:8080/v1/addresses" | sed 's/.*"addresses":\["\([^"]*\)".*/\1/'
}

# complete streams one completion and prints its text and its done event.
complete() {
  local address
  address=$(ask_address 1)
  echo "== completion for team $1, class $2, at $address"
  curl -fsN "http://$address/v1/completions" -H "Lagoonshift-Team: $1" -H "Lagoonshift-Class: $2" \
    -H "Lagoonshift-Customer: demo" -d "{\"prompt\": \"$3\", \"max_tokens\": $4}" |
    sed -n 's/.*"text":"\([^"]*\)".*/\1/p; s/^data: \({.*"digest".*}\)/\n\1/p' | tr -d '\n'
  echo
}

# book calls a booking service with an idempotency key through the given entry.
book() {
  echo "== $2 through entry $1"
  curl -fs "http://$net.1$1:8080/v1/services/$2" -H 'Lagoonshift-Customer: demo' \
    -H "Idempotency-Key: $3" -H 'Content-Type: application/json' -d '{"day": "2026-12-07"}'
  echo
}

key=demo-$(date +%s)
if [ "$name" = reseat-works ]; then
  complete desk quote 'Reseat twelve task chairs and replace their gas lifts.' 12
  complete workshop triage 'Oak carver, one arm split, seat sound. Save it?' 1
  book 1 booking/collections "$key"
  book 2 booking/collections "$key"
else
  complete gardens season-plan 'Two plum trees, a bean frame, heavy clay.' 12
  complete families quick-question 'Prune the feijoa now or in August?' 4
  book 1 visits/bookings "$key"
  book 2 visits/bookings "$key"
fi
bin/lagoonshift load run examples/"$name"/mix.jsonc --json "out/$name.json" --plot "out/$name.png"
echo "report: out/$name.json, plot: out/$name.png"
