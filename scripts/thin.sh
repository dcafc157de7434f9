#!/usr/bin/env bash
# Runs the thin whole path: control, two entries, two engines and a booking
# service, each its own process; then one quote and one repeated booking.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/lagoonshift ./cmd/lagoonshift
pids=()
stop() { kill -TERM "${pids[@]}" 2>/dev/null || true; wait; }
trap stop EXIT
start() { bin/lagoonshift "$@" & pids+=($!); }

example=examples/reseat-works
admin=http://127.0.1.1:7401
start fake engine --listen 127.0.1.31:9000 --model drafting
start fake engine --listen 127.0.1.32:9000 --model drafting
start fake service --listen 127.0.1.51:9100
start control --deployment $example/deployment.jsonc --name control-1
until curl -fs $admin/healthz; do sleep 0.1; done
bin/lagoonshift config apply --admin $admin --token-file $example/operator.token $example/settings.jsonc
start entry --deployment $example/deployment.jsonc --name entry-1
start entry --deployment $example/deployment.jsonc --name entry-2
until curl -fs http://127.0.1.11:8080/v1/addresses; do sleep 0.1; done
sleep 0.3
curl -fsN http://127.0.1.11:8080/v1/completions -H 'Lagoonshift-Team: desk' -H 'Lagoonshift-Class: quote' \
  -d '{"prompt": "Reseat twelve task chairs, replace gas lifts.", "max_tokens": 5}'
for entry in 127.0.1.11 127.0.1.12; do
  curl -fs http://$entry:8080/v1/services/booking/collections -H 'Lagoonshift-Customer: north-estate' \
    -H 'Idempotency-Key: van-1' -H 'Content-Type: application/json' -d '{"day": "2026-12-07"}'
done
