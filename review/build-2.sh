#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, which are scripts, into
# build/review-2. Needs g++ and the Boost headers that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for number in 7 8 9 10; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. \
    "review/$number/case.cpp" -o "build/review-2/case-$number" \
    -lboost_json -lpthread
done
