#!/usr/bin/env bash
# Simulates the users' deployments with their bench program, which is not part
# of this repository: BENCH is the program, SITES the folder of its site files,
# and WHY the purpose of the runs, which is passed to the bench as --why.
#
#   BENCH=... SITES=... WHY="..." scripts/play.sh score|hunt|sweep
#
# `hunt` simulates 8 days for sites of 60 machines or more, and 40 days for
# smaller ones.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?set it to the bench program}" "${SITES:?set it to the folder of the site files}"
: "${WHY:?set it to the purpose of the runs}"
JOBS=${JOBS:-3}

# The newest deployments come first. The large site replaces the two oldest
# ones, which have the same services at a smaller size; ALL=1 runs them too.
LARGE=(large/lianhua-rounds-large further-grown/kivimosaiik-hq-grown
  grown/lianhua-rounds-grown grown/falam-tawa-grown)
SMALL=(further/kivimosaiik-hq)
[ -z "${ALL:-}" ] || SMALL+=(sites/lianhua-rounds sites/falam-tawa)

run_site() {
  local verb=$1 site=$2
  shift 2
  "$BENCH" "$verb" "$SITES/$site.toml" --jobs "$JOBS" --why "$WHY" "$@"
}

case "${1:-}" in
  score)
    for site in "${LARGE[@]}" "${SMALL[@]}"; do run_site score "$site"; done ;;
  hunt)
    for site in "${LARGE[@]}"; do run_site hunt "$site" --days 8; done
    for site in "${SMALL[@]}"; do run_site hunt "$site" --days 40; done ;;
  sweep)
    run_site sweep "${LARGE[0]}" ;;
  *)
    echo "usage: scripts/play.sh score|hunt|sweep" >&2
    exit 2 ;;
esac
