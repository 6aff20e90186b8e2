#!/usr/bin/env bash
# Writes src/chart_call_p.h from charts/call.scxml.
set -euo pipefail
cd "$(dirname "$0")/.."
{
  cat <<'HEAD'
// Copy of charts/call.scxml, so that the daemon needs no file at run time.
// scripts/embed-chart.sh writes it, and a test compares both.
#ifndef BRAMLEYBANK_SRC_CHART_CALL_P_H_
#define BRAMLEYBANK_SRC_CHART_CALL_P_H_

namespace bramleybank {

HEAD
  printf 'inline constexpr char kCallChart[] =\n    R"scxml('
  cat charts/call.scxml
  printf ')scxml";\n'
  cat <<'TAIL'

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CHART_CALL_P_H_
TAIL
} > src/chart_call_p.h
