#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
# TROUBLE=0 the disruption is left out. Needs the build of the deploy file and review/build-2.sh.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
if [ ! -x target/review/standin-2 ] || [ ! -x target/release/geraniumgauge-edge ]; then
  echo "not built" >&2
  exit 2
fi
exec target/review/standin-2 headers "$folder/record.txt"
