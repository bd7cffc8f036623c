#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start; after the build of deploy/balancer.toml. No package is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/world review/standins-2/world.rs
