#!/usr/bin/env bash
# Installs the packages, builds, and runs all tests: format, lint, unit tests, model checking,
# process tests. With one argument runs only that part (format, lint, unit, spec, processes).
# Exits with 0 if no part failed; a failing part that KNOWN-RED.txt lists doesn't count as failed.
set -euo pipefail
cd "$(dirname "$0")"
tools/install.sh
tools/build.sh
part=${1:-all}
passed=0
failed=0
known=0
# True if KNOWN-RED.txt lists the part, or each single test of it that failed. A part that failed
# without naming its failed tests, such as by a crash, is not known red.
is_known_red() { # is_known_red NAME
  local names total test
  grep -q "^test: $1\$" KNOWN-RED.txt 2>/dev/null && return 0
  names=$(sed -n 's/^Test name: //p' "build/$1.out")
  total=$(sed -n 's/^Run: .*Failure total: \([0-9]*\) .*/\1/p' "build/$1.out")
  [ -n "$names" ] && [ "$(printf '%s\n' "$names" | wc -l)" = "$total" ] || return 1
  for test in $names; do
    grep -q "^test: $test\$" KNOWN-RED.txt 2>/dev/null || return 1
  done
  echo "known red tests: $names"
}
run() { # run NAME COMMAND...
  local name=$1
  shift
  if [ "$part" != all ] && [ "$part" != "$name" ]; then return; fi
  echo "=== $name"
  if "$@" 2>&1 | tee "build/$name.out"; then
    passed=$((passed + 1))
  elif is_known_red "$name"; then
    known=$((known + 1))
    echo "known red: $name"
  else
    failed=$((failed + 1))
    echo "FAILED: $name"
  fi
}
sources() { git ls-files '*.cpp' '*.h' | grep -v generated; }
format() { sources | xargs clang-format --dry-run --Werror; }
lint() {
  git ls-files 'src/*.cpp' 'platform/*.cpp' 'daemons/*.cpp' 'standins/*.cpp' 'tools/*.cpp' 'tests/*.cpp' \
    | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>build/lint.err
}
run format format
run lint lint
run unit build/apricot-unit
[ -x spec/check.sh ] && run spec spec/check.sh
[ -x build/apricot-processes ] && run processes build/apricot-processes
if [ -s KNOWN-RED.txt ]; then
  echo "=== KNOWN-RED.txt"
  cat KNOWN-RED.txt
fi
echo "parts: $passed passed, $failed failed, $known known red"
[ "$failed" = 0 ]
