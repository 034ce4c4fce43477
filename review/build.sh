#!/usr/bin/env bash
# Builds the programs that the review's scripts start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -pthread -o "target/review/$name" "$source"
done
