#!/usr/bin/env bash
# Runs the benchmarks of the build folder one after the other, each with a
# timeout of TIME_LIMIT_S seconds, and writes their figures as JSON lines to
# bench/results/<name>.jsonl. Usage: bench.sh [name ...]; default: all.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
TIME_LIMIT_S=${TIME_LIMIT_S:-600}

BENCH_COMMIT=$(git rev-parse --short HEAD)
if ! git diff --quiet HEAD -- CMakeLists.txt include src tools tests bench/*.cc; then
  BENCH_COMMIT+=-changed
fi
export BENCH_COMMIT

if [ $# -eq 0 ]; then
  for program in "$BUILD"/bench_*; do
    [ -f "$program" ] && [ -x "$program" ] && set -- "$@" "${program##*/bench_}"
  done
fi

mkdir -p bench/results
failed=0
for name in "$@"; do
  out=bench/results/$name.jsonl
  echo "bench_$name (load average $(cut -d' ' -f1-3 /proc/loadavg)) ..."
  status=0
  timeout "$TIME_LIMIT_S" "$BUILD/bench_$name" > "$BUILD/bench_$name.new" || status=$?
  if [ "$status" -ne 0 ]; then
    echo "bench_$name failed with exit status $status; its output is in $BUILD/bench_$name.new" >&2
    failed=1
    continue
  fi
  # Adds the commit to the lines of programs that do not print it.
  sed -e "/\"commit\":/!s/}\$/,\"commit\":\"$BENCH_COMMIT\"}/" \
    "$BUILD/bench_$name.new" > "$out"
  rm "$BUILD/bench_$name.new"
  cat "$out"
done
exit "$failed"
