#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/target. Needs the build of the deploy file (bash deploy/build).
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/hyssopswitch-vm.jar ] || { echo "target/hyssopswitch-vm.jar is missing; run deploy/build first" >&2; exit 1; }
mkdir -p review/target/classes
javac --release 17 -nowarn -d review/target/classes -cp target/hyssopswitch-vm.jar review/standin/*.java
