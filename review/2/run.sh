#!/usr/bin/env bash
# Runs the case as a script; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 runs it without the disruption.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
    trouble=false
fi
if [ ! -x target/stepwick ] || [ ! -x target/review-standin ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
timeout --signal=KILL 110 target/review-standin --program target/stepwick --record "$folder/record.txt" --trouble="$trouble"
code=$?
case $code in
0 | 1) exit "$code" ;;
esac
exit 2
