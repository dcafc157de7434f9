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

# group_init makes a deployment of some control processes, with its files in a
# folder, starts them and waits until they are voters. Arguments: the binary,
# the first three numbers of the addresses, the folder, how many. Their pids
# are in group_pids by number.
group_init() {
  group_binary=$1 group_net=$2 group_folder=$3
  declare -gA group_pids
  local count=$4 control="" i
  for i in $(seq "$count"); do
    control+="{\"name\": \"control-$i\", \"zone\": \"a\", \"peer_address\": \"$group_net.$i:7400\", \"admin_address\": \"$group_net.$i:7401\", \"data_folder\": \"$group_folder/$i\"},"
  done
  cat >"$group_folder/deployment.jsonc" <<JSON
{"deployment": "trial", "region": "r", "zones": ["a"], "control": [$control],
 "entries": [{"name": "entry-1", "zone": "a", "caller_address": "$group_net.11:8080", "admin_address": "$group_net.11:8081"}]}
JSON
  "$group_binary" control init --deployment "$group_folder/deployment.jsonc" --name control-1
  for i in $(seq "$count"); do group_start "$i"; done
  for i in $(seq "$count"); do await curl -fs "http://$group_net.$i:7401/readyz"; done
}

# group_start starts one of the control processes.
group_start() {
  "$group_binary" control --deployment "$group_folder/deployment.jsonc" --name "control-$1" >>"$group_folder/log-$1" 2>&1 &
  group_pids[$1]=$!
}
