#!/usr/bin/env bash
# Builds all programs and tests into build/. The output of CMake is shown only if it fails.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >build-configure.log 2>&1 || {
  cat build-configure.log
  exit 1
}
rm -f build-configure.log
ninja -C build --quiet
