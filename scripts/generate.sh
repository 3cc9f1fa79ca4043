#!/usr/bin/env bash
# Renews the generated code of proto/ under libs/peer/generated. The build uses
# the committed code and does not run protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
out=libs/peer/generated
mkdir -p "$out"
protoc -I proto --cpp_out="$out" --grpc_out="$out" \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peer.proto
