#!/usr/bin/env bash
# Builds the stand-ins of the third review. The nodes are those of the build in
# deploy/system.toml. It needs the declared modules and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/standins ./review/standins3
