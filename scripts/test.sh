#!/usr/bin/env bash
# Runs the formatter, vet, staticcheck and all tests, with the race detector and
# fixed seeds. It skips and prints the tests listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."

# rapid_seed makes every property test generate the same cases on each run.
rapid_seed=20261204
# test_timeout is the timeout of the tests of one package. Those of platform took 408 to
# 633 s on seven cores in eight runs of this script.
test_timeout=15m

unformatted=$(go tool gofumpt -l cmd internal platform)
if [ -n "$unformatted" ]; then
  printf 'gofumpt would change:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...

skip='^$'
if [ -f KNOWN-RED.txt ]; then
  known=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
  if [ -n "$known" ]; then
    printf 'KNOWN RED, passed over:\n%s\n' "$known"
    skip="^($(printf '%s' "$known" | paste -sd '|'))\$"
  fi
fi

uses_rapid='{{$u := false}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$u = true}}{{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$u = true}}{{end}}{{end}}'
plain=$(go list -f "$uses_rapid{{if not \$u}}{{.ImportPath}}{{end}}" ./...)
drawn=$(go list -f "$uses_rapid{{if \$u}}{{.ImportPath}}{{end}}" ./...)
# test_packages takes import paths separated by blanks, then flags of the test
# binaries. The runtime of the race detector can itself crash on arm64: packages
# that end so there, without a failed test or a reported race, are tested once
# more without the detector.
test_packages() {
  local packages=$1 log status=0 crashed
  shift
  log=$(mktemp)
  # The lists must be split into words; import paths contain no spaces.
  # shellcheck disable=SC2086
  go test -race -count=1 -timeout "$test_timeout" -skip "$skip" $packages "$@" 2>&1 | tee "$log" || status=$?
  if [ "$status" -ne 0 ] && [ "$(go env GOARCH)" = arm64 ]; then
    if crashed=$(awk -f scripts/detector-crashes.awk "$log") && [ -n "$crashed" ]; then
      printf 'RACE DETECTOR CRASHED, tested without it:\n%s\n' "$crashed"
      status=0
      # shellcheck disable=SC2086
      go test -count=1 -timeout "$test_timeout" -skip "$skip" $crashed "$@" || status=$?
    fi
  fi
  rm -f "$log"
  return "$status"
}

test_packages "$plain"
if [ -n "$drawn" ]; then
  test_packages "$drawn" -rapid.seed="$rapid_seed" -rapid.nofailfile
fi
# The race detector makes these simulations ten times as slow; above, only a part of them was
# played.
go test -count=1 -timeout "$test_timeout" -skip "$skip" -run '^TestPlacement' ./internal/experiment
