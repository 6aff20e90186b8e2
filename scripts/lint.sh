#!/usr/bin/env bash
# Checks the format of every source file and runs clang-tidy on the .cc files of
# src, tools and platform, using the compilation database. Clean results are
# cached by the hash of the file, of all headers and of .clang-tidy, so that a
# second run checks only what has changed.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
JOBS=${JOBS:-$(nproc)}

git ls-files -co --exclude-standard '*.h' '*.cc' |
  xargs clang-format --dry-run --Werror

cache="$BUILD/tidy-cache"
mkdir -p "$cache"
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy | sort |
  xargs sha1sum | sha1sum | cut -c1-16)

check_file() {
  local file=$1
  local key
  key=$(sha1sum "$file" | cut -c1-16)-$headers
  if [ -e "$cache/$key" ]; then
    return 0
  fi
  clang-tidy -p "$BUILD" --quiet "$file" 2>/dev/null && touch "$cache/$key"
}
export -f check_file
export BUILD cache headers

git ls-files -co --exclude-standard 'src/*.cc' 'tools/*.cc' 'platform/*.cc' |
  xargs -P "$JOBS" -I{} bash -c 'check_file {}'
echo "lint: clean"
