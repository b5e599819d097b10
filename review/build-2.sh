#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/; needs a JDK and no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java
