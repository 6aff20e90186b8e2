// One request of a caller on its way through the gateway: route, customer,
// attempts at endpoints, and the answer.
#ifndef BRAMLEYBANK_SRC_GATEWAY_EXCHANGE_H_
#define BRAMLEYBANK_SRC_GATEWAY_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "answer_buffer.h"
#include "bramleybank/handle.h"
#include "bramleybank/result_code.h"
#include "endpoint_directory.h"
#include "event_splitter.h"
#include "gateway_attempt.h"
#include "gateway_request.h"
#include "hooks.h"
#include "http1_parser.h"
#include "limit_retry_budget.h"
#include "stream_backup.h"

namespace bramleybank {

class EndpointAdopter;
class EndpointPicker;
class EventLoop;
class GatewayCaller;
class GatewayConfig;
class MetricRegistry;
class PromptLocator;
class RolloutDirector;
class StreamSilenceMonitor;
struct GatewayCodec;
struct GatewayRoute;

/// What exchanges share. Everything pointed to outlives them.
struct GatewayEnvironment {
  EventLoop* loop = nullptr;
  const GatewayCodec* codec = nullptr;
  EndpointDirectory* directory = nullptr;
  const EndpointPicker* picker = nullptr;
  RetryBudget* budget = nullptr;
  StreamSilenceMonitor* silence = nullptr;
  MetricRegistry* metrics = nullptr;
  EndpointAdopter* adopter = nullptr;
  RolloutDirector* rollouts = nullptr;
  PromptLocator* prompts = nullptr;
  /// Bytes of answers that are not whole yet.
  size_t* buffered_bytes = nullptr;
  RandomHook random;
  /// Configuration in force; null before the first one.
  std::function<std::shared_ptr<const GatewayConfig>()> config;
  /// Whether this daemon stops before a request of that kind could end.
  std::function<bool(bool is_stream)> is_too_late;
};

/// One exchange. It is alive until `on_over` has been called.
class GatewayExchange {
 public:
  GatewayExchange(const GatewayEnvironment* environment,
                  uint64_t number,
                  std::shared_ptr<GatewayCaller> caller,
                  GatewayRequest request,
                  std::function<void()> on_over);
  ~GatewayExchange();
  GatewayExchange(const GatewayExchange&) = delete;
  GatewayExchange& operator=(const GatewayExchange&) = delete;

  void Start();
  /// The running attempt has fallen silent.
  void OnSilence();
  /// Keeps the copy of a running stream's memory alive. Called at a regular
  /// interval.
  void MaintainBackup();

 private:
  bool FindRoute();
  bool FindCustomer();
  void ChooseService();
  void StartTimers();

  void FindPrompt();
  void TryEndpoint();
  /// @returns the engine that has read the prompt, if it seems to be alive.
  const EndpointRecord* PromptLocation() const;
  const EndpointRecord* PickEndpoint() const;
  void StartAttempt(const EndpointRecord& endpoint, bool restores);
  AttemptMetadata DescribeAttempt(const EndpointRecord& endpoint,
                                  bool restores);
  std::string RenderRequest(const EndpointRecord& endpoint, bool restores);
  bool HasBackup() const;
  void WatchSilence();

  void OnHead(const Http1Head& head);
  /// Takes note of what the answer says of its endpoint.
  void NoteEndpointState();
  void OnBody(std::string_view data);
  void OnAttemptEnd(AttemptEnd end);
  void OnWholeAnswer();
  void RelayEvents();
  /// Passes an event on, unless the caller has it already.
  /// @returns false when events before it are missing.
  bool PassEvent(const RawEvent& event);
  bool IsProgress(const RawEvent& event) const;
  void MeasureEvent();
  void OnStreamWhole();

  /// Ends the attempt and goes on elsewhere if that is allowed.
  void LoseAttempt(EndpointOutcome outcome,
                   RetryReason reason,
                   std::string_view detail);
  void EndAttempt(EndpointOutcome outcome);
  /// Tells rollouts of an answer of the attempt's endpoint, or its loss.
  void ObserveVersion(bool failed);
  bool MayTryAgain(RetryReason reason);

  void OnTimeout();
  void ArmAttemptTimer();
  void OnAttemptSlow();
  void OnCallerGone();
  void GiveUp(ResultCode code);
  void Refuse(ResultCode code, Duration retry_after);
  void Finish();

  bool is_stream() const;
  Duration TimeLeft() const;

  const GatewayEnvironment* m_environment;
  const uint64_t m_number;
  std::shared_ptr<GatewayCaller> m_caller;
  const GatewayRequest m_request;
  const RequestMetadata m_statement;
  std::function<void()> m_on_over;
  std::shared_ptr<const GatewayConfig> m_config;
  const GatewayRoute* m_route = nullptr;
  std::string m_service;
  std::string m_customer;
  TimePoint m_deadline;
  TimerHandle m_timer;
  // Moves an idempotent call away from an endpoint that does not answer.
  TimerHandle m_attempt_timer;

  // The running attempt; m_endpoint describes it.
  std::unique_ptr<GatewayAttempt> m_attempt;
  EndpointEntry m_endpoint;
  TimePoint m_attempt_start;
  Http1Head m_head;
  AnswerMetadata m_answer;
  AnswerBuffer m_body;
  EventSplitter m_events;
  bool m_attempt_has_event = false;

  // Ids of endpoints that this request has been sent to.
  std::vector<std::string> m_tried;
  // Endpoints that may have run the request.
  int m_runs = 0;
  int m_sends = 0;
  StreamBackup m_backup;
  // Engine that has read the prompt; empty when it is not known.
  std::string m_prompt_location;
  // Callbacks that outlive this object find it expired.
  std::shared_ptr<GatewayExchange*> m_alive;

  // Streams: the last event that the caller has, and whether any was sent.
  std::optional<uint64_t> m_last_event_id;
  bool m_stream_started = false;
  uint64_t m_events_passed = 0;
  TimePoint m_last_event_at;
  Duration m_first_event_wait{0};
  Duration m_longest_gap{0};
  bool m_is_over = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_EXCHANGE_H_
