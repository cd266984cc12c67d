#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code after a change of a .fbs file.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums -o src/generated src/connection/peer.fbs src/connection/beat.fbs
