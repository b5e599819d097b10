#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts into target/review; needs the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -d target/review review/standins/*.java
