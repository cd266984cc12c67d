#!/usr/bin/env bash
# Builds the program of each case, with the stand-ins and clients that it needs, into
# review/build. The case programs need Boost.JSON from the deploy file's packages and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/case.cpp; do
  [ -e "$source" ] || continue
  name=$(dirname "$source")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-$name" "$source" common/json.cpp &
done
for job in $(jobs -p); do wait "$job"; done
