#!/bin/sh
# Builds the cases of the second review with their stand-ins, into
# target/review-2/. Needs what the build of the deploy file needs, nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
  if [ -f "review/$n/case.cc" ]; then
    g++ -std=c++20 -O1 -pthread -Ireview/standin-2 "review/$n/case.cc" \
      -o "target/review-2/case-$n"
  fi
done
