#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -f target/hyssopswitch-vm.jar ] || [ ! -f review/standin-2/target/classes/Cases.class ]; then
  echo "build first: bash deploy/build && bash review/build-2.sh" >&2
  exit 2
fi
timeout 115 java -cp review/standin-2/target/classes Cases KeyMovedInTransaction review/9/record.txt "$PWD"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
