#!/usr/bin/env bash
# Copies what an instance runs from into target/deploy and records its classes in an archive, from
# which the JVM starts in about half the time.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/deploy
mkdir -p target/deploy/lib
cp knapweedcleat-router/target/lib/*.jar target/deploy/lib/
cp knapweedcleat-router/target/knapweedcleatd.jar platform/target/knapweedcleat-platform.jar target/deploy/

# The class path has to read as in deploy/system.toml, or the JVM does not use the archive.
java -Xmx110m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:MaxMetaspaceSize=64m -XX:-UsePerfData \
  -XX:ArchiveClassesAtExit=target/deploy/instance.jsa \
  -Dlogback.configurationFile=logback-forward.xml \
  -cp 'target/deploy/*:target/deploy/lib/*' \
  org.knapweedcleat.router.forward.node.ArchiveRun >target/deploy/archive.log 2>&1 ||
  echo "no class archive was written; see target/deploy/archive.log" >&2
