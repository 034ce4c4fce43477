#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cc; do
  g++ -std=c++20 -O2 -pthread -Wall -Wextra -o "target/review-2/$(basename "$source" .cc)" "$source"
done
