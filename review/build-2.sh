#!/bin/sh
# Builds the stand-ins of the script cases of the second review; needs rustc only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases-2 review/cases-2.rs
