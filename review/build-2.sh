#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library only, so that no network is needed.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOFLAGS=-buildvcs=false go build -ldflags=-linkmode=external -o ../../target/standin-2 .
