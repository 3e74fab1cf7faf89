#!/bin/sh
# Builds the stand-ins of the cases, which need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standins.rs -o target/review/standins
