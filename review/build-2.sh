#!/bin/sh
# Builds the drivers and stand-ins of the scripts in review/4 to review/8, without a network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/5/driver"
GOFLAGS="${GOFLAGS:-} -mod=mod" GOWORK=off GOPROXY=off go build -buildvcs=false -o "$root/target/review-5-driver" .
