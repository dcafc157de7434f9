#!/usr/bin/env bash
# Trial on real processes: a deployment with TLS on every listener. Creates keys
# and checks that requests and an operator command succeed, that plain HTTP and
# the certificates of another authority are refused, and that an entry reloads its
# replaced key while it runs.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/lib.sh
binary=$PWD/bin/lagoonshift
go build -o "$binary" ./cmd/lagoonshift
folder=$(mktemp -d)
pids=()
stop() {
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do end_all "${pids[$i]}"; done
  rm -rf "$folder"
}
trap stop EXIT
start() { "$binary" "$@" >>"$folder/log" 2>&1 & pids+=($!); }

cat >"$folder/deployment.jsonc" <<EOF
{
  "deployment": "tls-trial", "region": "r", "zones": ["a"], "log": {},
  "root_token_sha256": "$(printf token | sha256sum | cut -d' ' -f1)",
  "control": [
    {"name": "control-1", "zone": "a", "peer_address": "127.0.3.1:7400", "admin_address": "127.0.3.1:7401", "data_folder": "$folder/control-1"},
    {"name": "control-2", "zone": "a", "peer_address": "127.0.3.2:7400", "admin_address": "127.0.3.2:7401", "data_folder": "$folder/control-2"},
    {"name": "control-3", "zone": "a", "peer_address": "127.0.3.3:7400", "admin_address": "127.0.3.3:7401", "data_folder": "$folder/control-3"},
  ],
  "entries": [{"name": "entry-1", "zone": "a", "caller_address": "127.0.3.11:8443", "admin_address": "127.0.3.11:8444"}],
  "tls": {
    "callers": {"certificate": "$folder/keys/{name}.pem", "key": "$folder/keys/{name}.key"},
    "administration": {"certificate": "$folder/keys/{name}.pem", "key": "$folder/keys/{name}.key"},
    "peers": {"certificate": "$folder/keys/{name}.pem", "key": "$folder/keys/{name}.key", "authority": "$folder/keys/authority.pem"},
  },
}
EOF
cat >"$folder/settings.jsonc" <<EOF
{
  "system": {"address_ttl": "1s", "ledger_retention": "1h"},
  "models/m": {"role_price": 1, "engines": {"engine-1": {"url": "http://127.0.3.101:9000", "zone": "a", "checks_fencing": true, "authority": "lagoonshift"}}},
  "teams/t": {"classes": {"c": {"model": "m", "expected_wait": "10s", "worth": 1}}},
}
EOF
printf token >"$folder/token"
flags=(--deployment "$folder/deployment.jsonc")
"$binary" keys create "${flags[@]}" --folder "$folder/keys"
"$binary" control init "${flags[@]}" --name control-1 2>/dev/null
start fake engine --listen 127.0.3.101:9000 --model m
for i in 1 2 3; do start control "${flags[@]}" --name control-$i; done
trusted=(curl -fs --cacert "$folder/keys/authority.pem")
for i in 1 2 3; do await "${trusted[@]}" https://127.0.3.$i:7401/readyz; done
"$binary" config apply --admin https://127.0.3.1:7401 --authority "$folder/keys/authority.pem" --token-file "$folder/token" "$folder/settings.jsonc"
start entry "${flags[@]}" --name entry-1
await "${trusted[@]}" https://127.0.3.11:8444/readyz
ask() {
  "${trusted[@]}" -N https://127.0.3.11:8443/v1/completions -H 'Lagoonshift-Team: t' -H 'Lagoonshift-Class: c' \
    -H 'Lagoonshift-Customer: k' -d '{"prompt": "one chair", "max_tokens": 3}' | grep -c '^id:'
}
echo "events of a stream over TLS: $(ask)"
if curl -s http://127.0.3.11:8443/v1/addresses | grep -q addresses; then
  echo "the TLS listener answered a plain HTTP request" >&2
  exit 1
fi

# Keys of a second authority, which no process trusts.
"$binary" keys create "${flags[@]}" --folder "$folder/strangers" >/dev/null
if timeout 5 "$binary" status --admin https://127.0.3.1:7401 --authority "$folder/strangers/authority.pem" --token-file "$folder/token" >/dev/null 2>&1; then
  echo "the client trusted a server certificate of another authority" >&2
  exit 1
fi

# The entry must reload a replaced key and certificate while it runs.
before=$(openssl s_client -connect 127.0.3.11:8443 </dev/null 2>/dev/null | openssl x509 -noout -serial)
cp "$folder/strangers/entry-1.key" "$folder/strangers/entry-1.pem" "$folder/keys/"
sleep 2
after=$(openssl s_client -connect 127.0.3.11:8443 </dev/null 2>/dev/null | openssl x509 -noout -serial)
if [ "$before" = "$after" ]; then
  echo "the entry did not reload the replaced key within 2 s" >&2
  exit 1
fi
echo "replaced key reloaded; plain HTTP and certificates of another authority refused"
