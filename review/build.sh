#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs g++ and nlohmann-json3-dev, which the
# deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/[0-9]*/case.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -Ireview "$source" -o "target/review/case-$name" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
