#!/usr/bin/env bash
# Compiles the stand-ins and the clients of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standin/*.java
