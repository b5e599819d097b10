#!/usr/bin/env bash
# Checks that names specific to the users' platform occur only in platform/ and deploy/, and that
# platform/ imports no core packages that make routing or scheduling decisions.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

names='Knapweedcleat-[A-Z]|"/-/|op/config|"servers/|traffic_split|api_keys|kv_handle|kv_capacity|max_attempts'
names_outside=$(git grep -nE "$names" -- '*src/main/*.java' ':!platform/' || true)
packages='core\.(balance|room|quota|forward|fleet|limit|schedule|attempt|once|order|membership)\.'
imports_inside=$(git grep -nE "import org\.knapweedcleat\.$packages" -- 'platform/src/main' || true)
if [ -n "$names_outside$imports_inside" ]; then
  echo "platform-specific names outside platform/, or decision packages imported inside it:" >&2
  echo "$names_outside$imports_inside" >&2
  exit 1
fi
echo "boundary of platform/: ok"
