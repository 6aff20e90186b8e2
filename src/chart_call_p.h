// Copy of charts/call.scxml, so that the daemon needs no file at run time.
// scripts/embed-chart.sh writes it, and a test compares both.
#ifndef BRAMLEYBANK_SRC_CHART_CALL_P_H_
#define BRAMLEYBANK_SRC_CHART_CALL_P_H_

namespace bramleybank {

inline constexpr char kCallChart[] =
    R"scxml(<?xml version="1.0" encoding="UTF-8"?>
<!-- One non-idempotent call in one daemon. src/call_machine.cc interprets this
     chart; src/chart_call_p.h holds a copy of it, which a test compares. -->
<scxml xmlns="http://www.w3.org/2005/07/scxml" version="1.0" initial="admitted">
  <!-- The request is valid; nothing has been written. -->
  <state id="admitted">
    <transition event="claim" target="claiming"/>
    <transition event="look_up" target="reading_back"/>
  </state>
  <!-- The claim write is in flight. -->
  <state id="claiming">
    <transition event="claim_written" target="dispatching"/>
    <transition event="claim_conflict" target="reading_back"/>
    <transition event="claim_unknown" target="reading_back"/>
    <transition event="claim_not_written" target="refused"/>
    <transition event="give_up" target="released"/>
  </state>
  <!-- The row is read: after a lost answer, or to observe another claimant. -->
  <state id="reading_back">
    <transition event="own_claim" target="dispatching"/>
    <transition event="released_row" target="claiming"/>
    <transition event="result_found" target="done"/>
    <transition event="refuse" target="refused"/>
    <transition event="give_up" target="released"/>
  </state>
  <!-- The claim holds and the request goes to an endpoint. -->
  <state id="dispatching">
    <transition event="connect_failed" target="dispatching"/>
    <transition event="answered" target="recording"/>
    <transition event="answer_lost" target="recording"/>
    <transition event="give_up" target="released"/>
  </state>
  <!-- The result, or the fact that it was lost, is written to the row. -->
  <state id="recording">
    <transition event="recorded" target="done"/>
    <transition event="abandon" target="done"/>
  </state>
  <final id="done"/>
  <!-- Given up before the first byte was sent; the release is written in the
       background. -->
  <final id="released"/>
  <final id="refused"/>
</scxml>
)scxml";

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CHART_CALL_P_H_
