#!/bin/sh
# Builds the stand-ins and cases of the second review into target/review-2.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standin-2/*.java
