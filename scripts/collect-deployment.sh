#!/usr/bin/env bash
# Copies what an instance runs from into target/deploy.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/deploy
mkdir -p target/deploy/lib
cp knapweedcleat-router/target/lib/*.jar target/deploy/lib/
cp knapweedcleat-router/target/knapweedcleatd.jar platform/target/knapweedcleat-platform.jar target/deploy/
