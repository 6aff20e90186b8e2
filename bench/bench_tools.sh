#!/usr/bin/env bash
# Measures the tokens per second that one standin_engine and one load_gen handle
# on one core each, to show that they do not limit the figures of the daemon.
# Prints JSON lines; `offered_tokens_per_s` is the token rate that the load
# requests.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
RATES=${RATES:-"20 50 100 200"}
TOKENS=${TOKENS:-256}
SECONDS_PER_RATE=${SECONDS_PER_RATE:-6}
IP=127.88.0.1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

cpu_ticks() {
  awk '{print $14 + $15}' "/proc/$1/stat"
}

run_rate() {
  local rate=$1
  cat > "$work/engine.ini" <<INI
[listen]
ip=$IP
port=9000
[engine]
slots=4096
batch_knee=4096
token_interval_ms=10
prefill_tokens_per_s=10000000
hold_time_ms=100
seed=1
INI
  cat > "$work/load.ini" <<INI
[targets]
addresses=$IP:9000
[load]
rate=$rate
duration_s=$SECONDS_PER_RATE
short_tokens=$TOKENS
long_share=0
seed=1
INI
  taskset -c 0 "$BUILD/standin_engine" --config="$work/engine.ini" \
    2> "$work/engine.log" &
  local engine=$!
  until curl -sf -o "$work/ready" "http://$IP:9000/healthz"; do
    sleep 0.05
  done
  local before after code=0
  before=$(cpu_ticks "$engine")
  taskset -c 1 "$BUILD/load_gen" --config="$work/load.ini" \
    > "$work/load.out" 2> "$work/load.log" || code=$?
  after=$(cpu_ticks "$engine")
  kill "$engine"
  wait "$engine" || true
  python3 - "$work/load.out" "$rate" "$TOKENS" "$before" "$after" "$code" <<'PY'
import json
import os
import sys
path, rate, tokens, before, after, code = sys.argv[1:]
figures = {}
for line in open(path):
    figure = json.loads(line)
    figures[figure["name"]] = figure["value"]
engine_s = (int(after) - int(before)) / os.sysconf("SC_CLK_TCK")
count = figures["tokens"]
print(json.dumps({
    "requests_per_s": float(rate),
    "offered_tokens_per_s": float(rate) * int(tokens),
    "tokens_per_s": round(figures["token_rate"]),
    "engine_us_per_token": round(engine_s * 1e6 / count, 2),
    "engine_core_share": round(engine_s / figures["wall_time"], 2),
    "load_gen_us_per_token": round(figures["cpu_per_token"], 2),
    "load_gen_core_share": round(
        figures["cpu_time"] / figures["wall_time"], 2),
    "token_gap_p95_ms": figures["token_gap_p95"],
    "send_delay_p99_ms": figures["send_delay_p99"],
    "answers_whole": figures.get("answers_whole", 0),
    "answers_faulty": figures.get("answers_faulty", 0),
    "exit_code": int(code)}))
PY
}

for rate in $RATES; do
  run_rate "$rate"
done
