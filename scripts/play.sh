#!/usr/bin/env bash
# Plays the users' deployments with their bench, which is not part of this
# repository: BENCH is its program, SITES the folder of the site files.
#
#   BENCH=... SITES=... WHY="..." scripts/play.sh score|hunt|sweep
#
# Sites of 60 machines or more are hunted for 8 days, smaller ones for 40.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?the program of the bench}" "${SITES:?the folder of the site files}"
: "${WHY:?what the plays are for}"
JOBS=${JOBS:-3}

# The newest deployments come first. The large site has replaced the two oldest
# ones, which have the same services at a smaller size; ALL=1 plays them too.
LARGE=(large/lianhua-rounds-large further-grown/kivimosaiik-hq-grown
  grown/lianhua-rounds-grown grown/falam-tawa-grown)
SMALL=(further/kivimosaiik-hq)
[ -z "${ALL:-}" ] || SMALL+=(sites/lianhua-rounds sites/falam-tawa)

play() {
  local verb=$1 site=$2
  shift 2
  "$BENCH" "$verb" "$SITES/$site.toml" --jobs "$JOBS" --why "$WHY" "$@"
}

case "${1:-}" in
  score)
    for site in "${LARGE[@]}" "${SMALL[@]}"; do play score "$site"; done ;;
  hunt)
    for site in "${LARGE[@]}"; do play hunt "$site" --days 8; done
    for site in "${SMALL[@]}"; do play hunt "$site" --days 40; done ;;
  sweep)
    play sweep "${LARGE[0]}" ;;
  *)
    echo "usage: scripts/play.sh score|hunt|sweep" >&2
    exit 2 ;;
esac
