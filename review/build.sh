#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. Needs only rustc, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin.rs
