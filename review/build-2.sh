#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into build-review-2/. They need the compiler and
# Boost.JSON, as the build of the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -pthread)
for source in http world servers; do
  g++ "${flags[@]}" -c "review/common-2/$source.cpp" -o "build-review-2/$source.o" &
done
wait
for folder in review/*/; do
  [ -f "$folder/case.cpp" ] || continue
  name=$(basename "$folder")
  [ "$name" -gt 5 ] || continue
  g++ "${flags[@]}" "$folder/case.cpp" build-review-2/{http,world,servers}.o -lboost_json \
    -o "build-review-2/case-$name" &
done
wait
for folder in review/*/; do
  name=$(basename "$folder")
  if [ -f "$folder/case.cpp" ] && [ "$name" -gt 5 ]; then
    [ -x "build-review-2/case-$name" ] || { echo "case $name was not built"; exit 1; }
  fi
done
