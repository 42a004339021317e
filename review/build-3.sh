#!/bin/sh
# Builds the stand-ins of the third review. Run it after the build of the deploy file.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/standin-3"
GOFLAGS=-buildvcs=false go build -o "$root/target/standin-3" .
