#!/bin/bash
# Builds the cases of the second review into target/review-2/. Needs a C++20 compiler and nlohmann-json.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  if [ "$number" -ge 6 ] && [ "$number" -le 10 ]; then
    "${CXX:-g++}" -std=c++20 -O1 -g1 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source"
  fi
done
