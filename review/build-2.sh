#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2
