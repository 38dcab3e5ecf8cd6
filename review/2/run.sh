#!/usr/bin/env bash
# Plays the case, and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
# TROUBLE=0 it does the same without the disruption. Needs the build of the deploy file and review/build.sh. KEEP=1 keeps the logs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stage ] && [ -x target/lentiltide-node ] || exit 2
exec target/review/stage executor-cut-off review/2
