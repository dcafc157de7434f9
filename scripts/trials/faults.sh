#!/usr/bin/env bash
# Fault injection on real processes: runs a load with a changing mix while
# entries and control processes are restarted in turn, killed and frozen. Prints
# the load report; wrong answers, calls run twice and false "not run" must be 0.
#
#   scripts/trials/faults.sh reseat-works|tui-lane [planned|crashes|all]
#
# DURATION is the time during which requests are sent; 100s by default.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/lib.sh

name=${1:?missing name of the example}
faults=${2:-all}
example=examples/$name
logs=out/$name
binary=bin/lagoonshift
entries=8
controls=3

ready=out/$name.ready
mkdir -p out
rm -rf "data/$name" "$ready"
READY_FILE=$ready scripts/deployment.sh "$name" &
deployment=$!
restarted=()
load=

# stop terminates the restarted processes before the deployment and its control
# processes.
stop() {
  if [ -n "$load" ]; then kill "$load" 2>/dev/null || true; fi
  end_all "${restarted[@]}"
  end_all $deployment
}
trap stop EXIT
until [ -e "$ready" ]; do kill -0 $deployment; sleep 0.2; done

pid_of() { cat "$logs/$1.pid"; }

# restart sends a signal to a process, waits until it has exited and starts it
# again.
restart() {
  local signal=$1 role=$2 process=$3 pid
  pid=$(pid_of "$process")
  kill "-$signal" "$pid"
  while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
  $binary "$role" --deployment "$example/deployment.jsonc" --name "$process" >>"$logs/$process.log" 2>&1 &
  restarted+=($!)
  echo $! >"$logs/$process.pid"
}

# freeze suspends a process for the given number of seconds.
freeze() {
  kill -STOP "$(pid_of "$1")"
  sleep "$2"
  kill -CONT "$(pid_of "$1")"
}

planned() {
  for i in $(seq 1 2 $entries); do
    restart TERM entry "entry-$i"
    restart TERM entry "entry-$((i + 1))"
  done
  for i in $(seq $controls); do
    restart TERM control "control-$i"
    sleep 3
  done
}

crashes() {
  restart KILL entry entry-1
  sleep 1
  freeze entry-2 6
  restart KILL control control-1
  sleep 2
  freeze control-2 4
  kill -KILL "$(pid_of engine-1)"
  sleep 2
  for i in 3 4 5 6 7 8; do
    restart KILL entry "entry-$i"
    sleep 1
  done
}

$binary load run "$example/mix.jsonc" --duration "${DURATION:-100s}" --json "out/$name-$faults.json" --plot "out/$name-$faults.png" &
load=$!
sleep 3
case $faults in
  planned) planned ;;
  crashes) crashes ;;
  all) crashes; planned ;;
  *) echo "unknown faults: $faults" >&2; exit 2 ;;
esac
wait $load
load=
