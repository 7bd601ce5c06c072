#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 8 into target/review-3, without any library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standin-3/main.rs -o target/review-3/cases
