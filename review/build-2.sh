#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/6 and later, with nothing but the JDK, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standin-2/*.java
