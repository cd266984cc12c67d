#!/usr/bin/env bash
# Builds the programs of the scripts in review/11 to review/15 into target/review-3/. Needs the
# packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/common-3/*.cpp; do
  name="$(basename "$source" .cpp)"
  g++ -std=c++20 -O1 -g1 -Wall -Wextra -pthread -o "target/review-3/$name" "$source" -lboost_json &
done
status=0
for job in $(jobs -p); do
  wait "$job" || status=1
done
exit $status
