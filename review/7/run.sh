#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin-2 ] && [ -x target/release/geraniumgauge-edge ] || exit 2
exec target/review/standin-2 unreadable-entry review/7/record.txt
