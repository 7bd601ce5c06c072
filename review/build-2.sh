#!/bin/sh
# Builds the stand-ins that the cases 4 to 8 start, with the compiler alone: no library, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standin-2/main.rs
bash review/build-3.sh
