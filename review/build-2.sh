#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Needs rustc only; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
