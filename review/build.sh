#!/usr/bin/env bash
# Builds what the cases start beside the controller: the project's state service, and the stand-ins of the review, which
# use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release -p oatloom-state
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-cases review/standin/main.rs
