#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Run it from anywhere, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/standin-3/*.java
