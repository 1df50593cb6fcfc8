#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. Needs only rustc, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-2 review/standin-2.rs
