#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. The programs of the
# project are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -tags review2 -o target/review2 ./review/standins2
