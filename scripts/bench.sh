#!/usr/bin/env bash
# Runs the bench programs that the build folder has, one after the other and
# each within TIME_LIMIT_S, and writes their figures as JSON lines to
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
    echo "bench_$name ended with status $status; output kept in $BUILD/bench_$name.new" >&2
    failed=1
    continue
  fi
  # Programs that don't name the commit themselves get it here.
  sed -e "/\"commit\":/!s/}\$/,\"commit\":\"$BENCH_COMMIT\"}/" \
    "$BUILD/bench_$name.new" > "$out"
  rm "$BUILD/bench_$name.new"
  cat "$out"
done
exit "$failed"
