# Functions that the scripts share; sourced, not run.

# await repeats a command until it succeeds, for 20 s at most.
await() {
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  exit 1
}

# end_all sends SIGTERM to processes and waits for their ends.
end_all() {
  kill -TERM "$@" 2>/dev/null || true
  for pid in "$@"; do
    while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
  done
}

# trio_init makes a deployment of three control processes and no entries that
# run, with its files in a folder. Arguments: the binary, the first three
# numbers of the addresses, the folder. Its processes are started by trio_start
# and their pids are in trio_pids by number.
trio_init() {
  trio_binary=$1 trio_net=$2 trio_folder=$3
  declare -gA trio_pids
  local control="" i
  for i in 1 2 3; do
    control+="{\"name\": \"control-$i\", \"zone\": \"a\", \"peer_address\": \"$trio_net.$i:7400\", \"admin_address\": \"$trio_net.$i:7401\", \"data_folder\": \"$trio_folder/$i\"},"
  done
  cat >"$trio_folder/deployment.jsonc" <<JSON
{"deployment": "trial", "region": "r", "zones": ["a"], "control": [$control],
 "entries": [{"name": "entry-1", "zone": "a", "caller_address": "$trio_net.11:8080", "admin_address": "$trio_net.11:8081"}]}
JSON
  "$trio_binary" control init --deployment "$trio_folder/deployment.jsonc" --name control-1
  for i in 1 2 3; do trio_start "$i"; done
  for i in 1 2 3; do await curl -fs "http://$trio_net.$i:7401/readyz"; done
}

# trio_start starts one of the three control processes.
trio_start() {
  "$trio_binary" control --deployment "$trio_folder/deployment.jsonc" --name "control-$1" >>"$trio_folder/log-$1" 2>&1 &
  trio_pids[$1]=$!
}
