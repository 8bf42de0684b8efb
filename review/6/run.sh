#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec java -Xmx256m -cp target/review-2 lab.PastTimesCase "$here"
