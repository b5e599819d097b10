#!/usr/bin/env bash
# Runs the randomised tests tagged "long" for a number of minutes from a seed.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

usage() {
  echo "usage: scripts/long-runs.sh --seed N --minutes M"
}

seed=1
minutes=1
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed=$2; shift 2 ;;
    --minutes) minutes=$2; shift 2 ;;
    -h | --help) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
done

echo "long runs: seed $seed, $minutes minutes"
mvn -B -ntp test -pl knapweedcleat-core -am \
  -Dgroups=long -Dknapweedcleat.excluded= -Dsurefire.failIfNoSpecifiedTests=false \
  "-DargLine=-Dknapweedcleat.long.seed=$seed -Dknapweedcleat.long.minutes=$minutes"
