#!/usr/bin/env bash
# Regenerates the Go code in api/ from the .proto files. Needs protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-go-grpc" google.golang.org/grpc/cmd/protoc-gen-go-grpc
go build -o "$bin/protoc-gen-go-drpc" storj.io/drpc/cmd/protoc-gen-go-drpc
export PATH="$bin:$PATH"
module=github.com/mallowgap/mallowgap
protoc -I api --go_out=. --go_opt=module=$module api/*/*.proto
protoc -I api --go-grpc_out=. --go-grpc_opt=module=$module \
  api/callerpb/*.proto api/operatorpb/*.proto api/leafpb/*.proto api/platformpb/*.proto
protoc -I api --go-drpc_out=. --go-drpc_opt=module=$module api/peerpb/*.proto api/relaypb/*.proto
