// Copy of charts/rollout.scxml, so that the daemon needs no file at run time.
// scripts/embed-chart.sh writes it, and a test compares both.
#ifndef BRAMLEYBANK_SRC_CHART_ROLLOUT_P_H_
#define BRAMLEYBANK_SRC_CHART_ROLLOUT_P_H_

namespace bramleybank {

inline constexpr char kRolloutChart[] =
    R"scxml(<?xml version="1.0" encoding="UTF-8"?>
<!-- Phases of one rollout, shared by all gateways. src/rollout_judge.cc
     interprets this chart. src/chart_rollout_p.h holds a copy of it; a test
     compares them. -->
<scxml xmlns="http://www.w3.org/2005/07/scxml" version="1.0" initial="probing">
  <!-- A small share of the requests goes to the new version. -->
  <state id="probing">
    <transition event="found_bad" target="rolled_back"/>
    <transition event="judged_good" target="shifting"/>
    <transition event="judged_unproven" target="rolled_back"/>
  </state>
  <!-- New requests go to the new version; the old one
       finishes those that it has. -->
  <state id="shifting">
    <transition event="found_bad" target="rolled_back"/>
    <transition event="time_up" target="completed"/>
  </state>
  <final id="completed"/>
  <final id="rolled_back"/>
</scxml>
)scxml";

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CHART_ROLLOUT_P_H_
