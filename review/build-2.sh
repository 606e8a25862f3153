#!/usr/bin/env bash
# Builds the stand-ins of review/standin-2, which the scripts of cases 6 to 10 start. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
rm -rf target
mkdir -p target/classes
javac -Xlint:all -d target/classes ./*.java
