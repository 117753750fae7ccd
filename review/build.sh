#!/usr/bin/env bash
# Builds the stand-ins that the script cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
