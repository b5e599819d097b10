#!/usr/bin/env bash
# Builds the platform module and runs a main class of its test sources, which include the stubs:
# run-on-standins.sh CLASS ARGUMENT...
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. scripts/setup.sh
need_java >&2
class=$1
shift
mkdir -p target
mvn -B -ntp -q -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl platform -am install >&2
mvn -B -ntp -q -pl platform dependency:build-classpath -Dmdep.includeScope=test \
  -Dmdep.outputFile=target/test.classpath >&2
exec java -Xmx256m -Dlogback.configurationFile=logback-forward.xml \
  -cp "platform/target/test-classes:platform/target/classes:$(cat platform/target/test.classpath)" \
  "org.knapweedcleat.platform.soak.$class" "$@"
