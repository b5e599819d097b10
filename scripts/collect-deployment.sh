#!/usr/bin/env bash
# Copies the files of an instance to target/deploy and writes a class data sharing archive, which
# about halves the start-up time of the JVM.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/deploy
mkdir -p target/deploy/lib
cp knapweedcleat-router/target/lib/*.jar target/deploy/lib/
cp knapweedcleat-router/target/knapweedcleatd.jar platform/target/knapweedcleat-platform.jar target/deploy/

# The class path must be identical to that in deploy/system.toml, or the JVM ignores the archive.
java -Xmx110m -Xss256k -XX:+ExitOnOutOfMemoryError -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:MaxMetaspaceSize=64m -XX:-UsePerfData \
  -XX:ArchiveClassesAtExit=target/deploy/instance.jsa \
  -Dio.netty.jfr.enabled=false \
  -Dlogback.configurationFile=logback-forward.xml \
  -cp 'target/deploy/*:target/deploy/lib/*' \
  org.knapweedcleat.platform.ArchiveTraining >target/deploy/archive.log 2>&1 ||
  echo "failed to write the class archive; see target/deploy/archive.log" >&2
