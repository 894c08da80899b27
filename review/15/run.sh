#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
for f in target/egretwall target/review-3/rig3; do
	if [ ! -x "$f" ]; then
		echo "$f is not built"
		exit 2
	fi
done
exec target/review-3/rig3 limited target/egretwall review/15/record.txt
