#!/usr/bin/env bash
# Regenerates the committed code from the protocol files. Needs protoc,
# protoc-gen-go and protoc-gen-connect-go on the PATH; the build does not.
set -eu
cd "$(dirname "$0")/.."
protoc -I proto --go_out=. --go_opt=module=magnoliahill.example/magnoliahill \
  --connect-go_out=. --connect-go_opt=module=magnoliahill.example/magnoliahill \
  proto/peer/v1/peer.proto
