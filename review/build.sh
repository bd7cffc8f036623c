#!/bin/sh
# Builds the stand-ins of the cases: one program, by the compiler alone, without packages or network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 --crate-name stand -o target/review/stand review/stand/main.rs
