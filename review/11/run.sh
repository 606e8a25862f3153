#!/usr/bin/env bash
# Exits with 1 if an acknowledged commit was lost, 0 if not, 2 if the case could not run; TROUBLE=0 leaves the cut out.
set -uo pipefail
cd "$(dirname "$0")/../.."
timeout 110 java -Xmx256m -cp target/review-3 JoinCase review/11/record.txt
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
