#!/usr/bin/env bash
# Builds the programs of the cases in review/11 to review/15, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/lib-3/case_*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2024 -O -A dead_code -o "target/review-3/$name" "$source"
done
