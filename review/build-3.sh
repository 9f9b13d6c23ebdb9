#!/bin/bash
# Builds the stand-ins that the scripts of review/12 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin-3 review/standin-3/main.rs
