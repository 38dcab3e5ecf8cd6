#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The product itself is built by the line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/stage ./review/_stage
