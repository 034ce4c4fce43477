#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review-3/$name" "$source"
done
