#!/usr/bin/env bash
# Installs the build and run-time dependencies as Debian packages. Idempotent.
set -euo pipefail

PACKAGES=(
  g++ make cmake ninja-build ccache clang-format clang-tidy python3 curl
  libace-dev libnghttp2-dev libmicrohttpd-dev libcurl4-openssl-dev
  libgoogle-glog-dev doctest-dev libinih-dev nlohmann-json3-dev
  libmsgpack-cxx-dev libxxhash-dev libpugixml-dev libboost-dev libhttp-parser-dev
)

missing=()
for package in "${PACKAGES[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
      grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}"
