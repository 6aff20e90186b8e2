// Copy of charts/stream.scxml, so that the daemon needs no file at run time.
// scripts/embed-chart.sh writes it, and a test compares both.
#ifndef BRAMLEYBANK_SRC_CHART_STREAM_P_H_
#define BRAMLEYBANK_SRC_CHART_STREAM_P_H_

namespace bramleybank {

inline constexpr char kStreamChart[] =
    R"scxml(<?xml version="1.0" encoding="UTF-8"?>
<!-- Lifecycle of one generation, from the request to the last token. -->
<scxml xmlns="http://www.w3.org/2005/07/scxml" version="1.0" initial="new">
  <state id="new">
    <transition event="start" target="running"/>
  </state>
  <!-- An attempt is active: connecting, or receiving tokens. -->
  <state id="running">
    <transition event="lost" target="interrupted"/>
    <transition event="end" target="flushing"/>
    <transition event="give_up" target="given_up"/>
    <transition event="superseded" target="superseded"/>
  </state>
  <!-- No attempt is active; the next one starts after a delay. -->
  <state id="interrupted">
    <transition event="start" target="running"/>
    <transition event="give_up" target="given_up"/>
    <transition event="superseded" target="superseded"/>
  </state>
  <!-- The engine is done; tokens still wait for the ack of their copy. -->
  <state id="flushing">
    <transition event="flushed" target="finished"/>
    <transition event="superseded" target="superseded"/>
  </state>
  <final id="finished"/>
  <final id="given_up"/>
  <final id="superseded"/>
</scxml>
)scxml";

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CHART_STREAM_P_H_
