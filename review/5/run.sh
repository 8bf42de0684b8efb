#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-standin/ManyEnds.class ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -f target/primrosegauge-platform/primrosegauge-platform.jar ] || { echo "build the deploy file first" >&2; exit 2; }
exec java -Xmx512m -cp target/review-standin ManyEnds review/5
