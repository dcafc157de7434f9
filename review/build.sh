#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
exec go build -tags review -o target/review/harness ./review/harness
