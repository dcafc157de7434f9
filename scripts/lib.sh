# Functions shared by the scripts; to be sourced, not run.

# await repeats a command until it succeeds. After 200 attempts, 0.1 s apart (at
# least 20 s), it exits with an error.
await() {
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "no success in 200 attempts: $*" >&2
  exit 1
}

# end_all sends SIGTERM to processes and waits until they have exited.
end_all() {
  kill -TERM "$@" 2>/dev/null || true
  for pid in "$@"; do
    while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
  done
}

# group_init creates a deployment of control processes, starts them and waits
# until they are voters. Arguments: the binary, the first three numbers of the IP
# addresses, the folder for all files, and the number of processes. It stores
# their PIDs in group_pids, indexed by process number from 1 on.
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

# group_start starts the control process with the given number.
group_start() {
  "$group_binary" control --deployment "$group_folder/deployment.jsonc" --name "control-$1" >>"$group_folder/log-$1" 2>&1 &
  group_pids[$1]=$!
}
