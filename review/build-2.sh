#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They need the compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in grace tenant moved writer; do
    rustc --edition 2024 -O -A dead_code -o "target/review-2/$name" "review/standins-2/$name.rs"
done
