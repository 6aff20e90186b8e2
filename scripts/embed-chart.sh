#!/usr/bin/env bash
# Generates src/chart_<name>_p.h from charts/<name>.scxml for every chart.
set -euo pipefail
cd "$(dirname "$0")/.."

embed() {
  local name=$1
  local upper=${name^^}
  local camel=${name^}
  cat <<HEAD
// Copy of charts/$name.scxml, so that the daemon needs no file at run time.
// scripts/embed-chart.sh writes it, and a test compares both.
#ifndef BRAMLEYBANK_SRC_CHART_${upper}_P_H_
#define BRAMLEYBANK_SRC_CHART_${upper}_P_H_

namespace bramleybank {

HEAD
  printf 'inline constexpr char k%sChart[] =\n    R"scxml(' "$camel"
  cat "charts/$name.scxml"
  printf ')scxml";\n'
  cat <<TAIL

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CHART_${upper}_P_H_
TAIL
}

for chart in charts/*.scxml; do
  name=$(basename "$chart" .scxml)
  embed "$name" > "src/chart_${name}_p.h"
done
