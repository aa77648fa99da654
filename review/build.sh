#!/usr/bin/env bash
# Builds the stand-ins of the cases, which have a build tag of their own, so that
# the default build and tests leave them out. Needs Go and the modules that the project
# declares.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -tags review -o target/review-standin ./review
