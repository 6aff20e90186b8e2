#!/usr/bin/env bash
# Starts a small deployment on loopback, requests one long streamed generation,
# kills the engine that serves it and then the daemon, and shows that the answer
# is complete. KEEP=1 leaves the deployment running until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
KEEP=${KEEP:-}
RUN=$(mktemp -d "${TMPDIR:-/tmp}/bramleybank-run-XXXXXX")
NET=127.90.0
DOMAINS=3
DAEMONS_PER_DOMAIN=2
ENGINES_PER_DOMAIN=2
TOKENS=200

declare -A PIDS=()

stop_all() {
  for pid in "${PIDS[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap stop_all EXIT

start() {  # name program < settings
  local name=$1 program=$2
  cat > "$RUN/$name.ini"
  "$BUILD/$program" --config="$RUN/$name.ini" > "$RUN/$name.log" 2>&1 &
  PIDS[$name]=$!
}

kill_process() {  # pid; hides the line that the shell prints for the signal
  {
    kill -KILL "$1"
    wait "$1"
  } 2>/dev/null || true
}

wait_for() {  # description command...
  local what=$1
  shift
  for _ in $(seq 600); do
    if "$@" > /dev/null 2>&1; then
      return 0
    fi
    sleep 0.05
  done
  echo "timed out waiting for $what; logs are in $RUN" >&2
  exit 1
}

fetch() { curl -sf --noproxy '*' --max-time 2 "$@"; }
metric() { fetch "http://$1:7102/metrics" | awk -v m="$2" '$1 == m {print $2}'; }
sees_all_daemons() { [ "$(metric "$1" bramleybank_members_alive)" = "$DAEMON_COUNT" ]; }
daemon_ip() { echo "$NET.$((10 + $1))"; }
engine_ip() { echo "$NET.$((60 + $1))"; }
service_ip() { echo "$NET.$((120 + $1))"; }
has_running_requests() { [ "$(fetch "http://$1:9000/load" | sed 's/.*"running":\([0-9]*\).*/\1/')" -gt 0 ]; }

DAEMON_COUNT=$((DOMAINS * DAEMONS_PER_DOMAIN))
ENGINE_COUNT=$((DOMAINS * ENGINES_PER_DOMAIN))
PLATFORM=$NET.1:7300

start platform standin_platform <<INI
[listen]
ip = $NET.1
port = 7300
[vms]
lag_ms = 200
INI
endpoints=""
for ((i = 0; i < ENGINE_COUNT; ++i)); do
  start "engine-$i" standin_engine <<INI
[listen]
ip = $(engine_ip "$i")
port = 9000
[engine]
model = writer
version = v1
token_interval_ms = 30
INI
  endpoints+="{\"address\":\"$(engine_ip "$i"):9000\",\"kind\":\"engine\",\"group\":\"writer\",\"version\":\"v1\",\"region\":\"north\",\"failure_domain\":\"north-$((i / ENGINES_PER_DOMAIN + 1))\"},"
done
for ((i = 0; i < DOMAINS; ++i)); do
  start "service-$i" standin_service <<INI
[listen]
ip = $(service_ip "$i")
port = 9100
INI
  endpoints+="{\"address\":\"$(service_ip "$i"):9100\",\"kind\":\"service\",\"group\":\"desk\",\"region\":\"north\",\"failure_domain\":\"north-$((i + 1))\"},"
done
vms=""
for ((i = 0; i < DAEMON_COUNT; ++i)); do
  vms+="{\"peer\":\"$(daemon_ip "$i"):7103\",\"region\":\"north\",\"failure_domain\":\"north-$((i / DAEMONS_PER_DOMAIN + 1))\",\"state\":\"live\"},"
done
wait_for "the platform" fetch "http://$PLATFORM/stats"
fetch -X POST "http://$PLATFORM/control" -d "{\"vms\":[${vms%,}]}" > /dev/null
fetch -X PUT "http://$PLATFORM/object/config/snapshot" -d "{\"number\":1,
  \"endpoints\":[${endpoints%,}],
  \"services\":[{\"name\":\"desk\",\"non_idempotent_routes\":[\"POST /bookings\",\"POST /charges\",\"POST /marks\"]}],
  \"customers\":[]}" > /dev/null
targets=""
for ((i = 0; i < DAEMON_COUNT; ++i)); do
  start "daemon-$i" bramleybankd <<INI
[node]
ip = $(daemon_ip "$i")
region = north
failure_domain = north-$((i / DAEMONS_PER_DOMAIN + 1))
[platform]
url = http://$PLATFORM
INI
  targets+="$(daemon_ip "$i"):7101,"
done
targets=${targets%,}
for ((i = 0; i < DAEMON_COUNT; ++i)); do
  wait_for "daemon $i to be ready" fetch "http://$(daemon_ip "$i"):7102/readyz"
  wait_for "daemon $i to see all daemons" sees_all_daemons "$(daemon_ip "$i")"
done
echo "Up: $DAEMON_COUNT daemons in $DOMAINS failure domains, $ENGINE_COUNT engines, $DOMAINS services, 1 platform (all on $NET.x)."

echo "Sending one generation of $TOKENS tokens ..."
"$BUILD/load_gen" --once --targets="$targets" --max-tokens="$TOKENS" \
  --prompt="Guide: strip the rust, oil, heat, and oil again." \
  > "$RUN/answer.txt" 2> "$RUN/load_gen.log" &
CALLER=$!

find_serving() {
  SERVING=""
  for ((i = 0; i < ENGINE_COUNT; ++i)); do
    if [ -n "${PIDS[engine-$i]:-}" ] && has_running_requests "$(engine_ip "$i")"; then
      SERVING=$i
      return 0
    fi
  done
  return 1
}
tokens_so_far() { tr -cd '.' < "$RUN/answer.txt" | wc -c; }
has_tokens() { [ "$(tokens_so_far)" -ge "$1" ]; }

wait_for "40 tokens" has_tokens 40
wait_for "an engine to report a running request" find_serving
echo "Token $(tokens_so_far): killing engine $SERVING ($(engine_ip "$SERVING"))."
kill_process "${PIDS[engine-$SERVING]}"
unset "PIDS[engine-$SERVING]"

wait_for "100 tokens" has_tokens 100
for ((i = 0; i < DAEMON_COUNT; ++i)); do
  if [ "$(metric "$(daemon_ip "$i")" bramleybank_open_streams)" = 1 ]; then
    OWNER=$i
  fi
done
echo "Token $(tokens_so_far): killing daemon $OWNER ($(daemon_ip "$OWNER"))."
RESUMES=$(grep -h 'name=stream_resumed' "$RUN/daemon-$OWNER.log" | tail -1 || true)
kill_process "${PIDS[daemon-$OWNER]}"
unset "PIDS[daemon-$OWNER]"

if ! wait "$CALLER"; then
  echo "The answer is incomplete; logs are in $RUN." >&2
  cat "$RUN/load_gen.log" >&2
  exit 1
fi
echo
echo "The answer is complete: $TOKENS tokens, each received once, in order."
echo "  engine lost: output resumed after $(sed 's/.*after_ms=\([0-9]*\).*/\1/' <<< "$RESUMES") ms, within the daemon"
grep -a '^resumed at' "$RUN/answer.txt" | sed 's/^/  daemon lost: /'
echo "See also: logs in $RUN, docs/design.md, docs/log-events.md;"
echo "  make run KEEP=1 leaves the deployment running; make test runs all tests."
if [ -n "$KEEP" ]; then
  echo "Running until Ctrl-C. Caller addresses: $targets"
  echo "  curl -N http://$(daemon_ip 5):7101/v1/completions -d '{\"model\":\"writer\",\"prompt\":\"hello\",\"stream\":true}'"
  echo "  curl http://$(daemon_ip 5):7102/status"
  wait
fi
