#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-3 ] && [ -d target/primrosegauge-platform ] || exit 2
exec java -Xmx128m -XX:+UseSerialGC -cp target/review-3 FrozenFrontCase "$PWD" review/15/record.txt
