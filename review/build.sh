#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library only.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS=-buildvcs=false go build -o ../../target/review/standin .
