#!/usr/bin/env bash
# Installs what building and testing needs. Debian's packages only; run as root or with sudo.
set -euo pipefail

packages=(
  g++ cmake make ninja-build clang-format clang-tidy clang-14 libclang-rt-14-dev
  libcivetweb-dev libmsgpack-cxx-dev libgflags-dev liblog4cplus-dev doctest-dev libyaml-cpp-dev
  libboost-dev nlohmann-json3-dev librapidcheck-dev libcurl4-openssl-dev libxxhash-dev
  libbenchmark-dev libssl-dev bc curl ccache
)

missing=()
for it in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'ok installed' || missing+=("$it")
done
[ ${#missing[@]} = 0 ] && exit 0

sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
