#!/usr/bin/env bash
# Builds the stand-ins of the third review. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -C opt-level=2 -o target/review-3/cases review/standins-3/main.rs
