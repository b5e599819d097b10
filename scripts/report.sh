#!/usr/bin/env bash
# Counts the tests in the log of a build and prints the known failures.
set -euo pipefail
log=$1
root=$(dirname "${BASH_SOURCE[0]}")/..

if [ -s "$root/KNOWN-RED.txt" ]; then
  echo "known failures that CI passes over:"
  cat "$root/KNOWN-RED.txt"
fi
# Each module's summary line; the lines of single classes end with the time they took.
grep -E 'Tests run: [0-9]+, Failures: [0-9]+, Errors: [0-9]+, Skipped: [0-9]+' "$log" |
  grep -v 'Time elapsed' |
  awk -F'[:,]' '{ run += $2; failed += $4 + $6; skipped += $8 }
    END { printf "%d passed, %d failed, %d skipped\n", run - failed - skipped, failed, skipped }'
