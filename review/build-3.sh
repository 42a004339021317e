#!/bin/sh
# Builds the stand-ins of the third review. Run it in the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin-3 ./review/standin-3
