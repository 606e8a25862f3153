#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15, under target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standin-3/*.java
