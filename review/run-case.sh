#!/usr/bin/env bash
# Runs a script case: run-case.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 runs it without the disruption. The record of
# what was sent, answered and run is written to FOLDER/record.txt.
set -uo pipefail
folder=$(cd "$1" && pwd) || exit 2
case_name=$2
cd "$(dirname "$0")/.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
    trouble=false
fi
if [ ! -x target/stepwick ] || [ ! -x target/review-standin ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
timeout --signal=KILL 110 target/review-standin --case "$case_name" --program target/stepwick \
    --record "$folder/record.txt" --trouble="$trouble"
code=$?
case $code in
0 | 1) exit "$code" ;;
esac
exit 2
