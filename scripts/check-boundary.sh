#!/usr/bin/env bash
# Checks that names of the users' platform stand in platform/ and deploy/ only, and that platform/
# uses nothing of the core that decides.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

names='Knapweedcleat-[A-Z]|"/-/|op/config|"servers/|traffic_split|api_keys|kv_handle|kv_capacity|max_attempts'
outside=$(git grep -nE "$names" -- '*src/main/*.java' ':!platform/' || true)
decisions='core\.(balance|room|quota|forward|fleet|limit|schedule|attempt|once|order|membership)\.'
inside=$(git grep -nE "import org\.knapweedcleat\.$decisions" -- 'platform/src/main' || true)
if [ -n "$outside$inside" ]; then
  echo "names of the platform outside platform/, or decisions inside it:" >&2
  echo "$outside$inside" >&2
  exit 1
fi
echo "boundary of platform/: ok"
