#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs protoc (Debian package
# protobuf-compiler); the Go plug-ins are tools in go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$plugins:$PATH" protoc \
  --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative \
  internal/transport/peergrpc/peerpb/peer.proto
