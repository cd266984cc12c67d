#!/usr/bin/env bash
# Regenerates the C++ code under src/generated from the FlatBuffers schemas. The generated code is
# committed; run this after each change to a .fbs file.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums -o src/generated src/connection/peer.fbs src/connection/beat.fbs
