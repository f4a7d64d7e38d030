#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases; needs nothing but the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/harness/main.rs
