#!/usr/bin/env bash
# Builds the programs of all cases, with their stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/[1-5]/; do
	if compgen -G "${dir}*.go" >/dev/null; then
		go build -o "target/review/$(basename "$dir")" "./$dir"
	fi
done
