#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 with their stand-ins, into
# target/review-3. The daemon comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -pthread "$source" -o "target/review-3/case-$number"
done
