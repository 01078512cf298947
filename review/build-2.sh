#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig-2 ./review/rig-2
