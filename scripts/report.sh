#!/usr/bin/env bash
# Prints the known failures and the test totals from a build log.
set -euo pipefail
log=$1
root=$(dirname "${BASH_SOURCE[0]}")/..

if [ -s "$root/KNOWN-RED.txt" ]; then
  echo "known failures, excluded from CI:"
  cat "$root/KNOWN-RED.txt"
fi
# Selects the summary line of each module; the lines of single classes have "Time elapsed".
grep -E 'Tests run: [0-9]+, Failures: [0-9]+, Errors: [0-9]+, Skipped: [0-9]+' "$log" |
  grep -v 'Time elapsed' |
  awk -F'[:,]' '{ run += $2; failed += $4 + $6; skipped += $8 }
    END { printf "%d passed, %d failed, %d skipped\n", run - failed - skipped, failed, skipped }'
