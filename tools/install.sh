#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing if all of them are
# installed.
set -euo pipefail
packages=(build-essential cmake ninja-build ccache git curl
  libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev libxxhash-dev libyaml-cpp-dev
  libcxxopts-dev libeasyloggingpp-dev prometheus-cpp-dev libflatbuffers-dev
  libcppunit-dev librapidcheck-dev spin bc clang-format clang-tidy gnuplot-nox)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -q >/dev/null
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends "${missing[@]}" >/dev/null
