#!/usr/bin/env bash
# Builds the stand-ins of the third review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/rig3 ./review/rig3
