#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-cast ./review/_cast
