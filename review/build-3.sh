#!/bin/bash
# Builds every stand-in that the scripts of the third review start: one program with the nodes' platform, executors and clients.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review3/stage3 ./review/_stage3
