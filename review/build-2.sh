#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it after the build of the deploy file. It needs no network beyond the modules of that build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/ ./review/cases-2
