#!/bin/sh
# Builds the stand-ins of the cases into target/review-standin.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-standin
mkdir -p target/review-standin
javac -d target/review-standin review/standin/*.java
