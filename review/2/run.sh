#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review/standin ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/standin restart review/2
