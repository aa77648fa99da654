#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs Go and the modules that the project
# declares.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-standin ./review/_standin
