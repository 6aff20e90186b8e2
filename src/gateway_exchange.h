// One request of a caller in the gateway: its route, customer, attempts at
// endpoints, and answer.
#ifndef BRAMLEYBANK_SRC_GATEWAY_EXCHANGE_H_
#define BRAMLEYBANK_SRC_GATEWAY_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "attempt_failure.h"
#include "bramleybank/handle.h"
#include "bramleybank/result_code.h"
#include "endpoint_directory.h"
#include "gateway_request.h"
#include "hooks.h"
#include "limit_retry_budget.h"
#include "placement_estimate.h"
#include "prompt_part.h"
#include "stop_admission.h"

namespace bramleybank {

class EndpointAdopter;
class EndpointLimiter;
class EndpointPicker;
class EndpointProber;
class EngineLoads;
class EventLoop;
class GatewayCaller;
class GatewayConfig;
class MemoryBudget;
class MetricRegistry;
class PromptLocator;
class PromptQuarantine;
class RolloutController;
class StreamSilenceMonitor;
struct EndpointChoice;
struct ExchangeAttempt;
enum class SilenceVerdict : uint8_t;
struct GatewayCodec;
struct GatewayRoute;
struct Http1Head;
struct RawEvent;
enum class AttemptEnd : uint8_t;

/// What all exchanges share. Everything pointed to outlives them.
struct ExchangeContext {
  EventLoop* loop = nullptr;
  const GatewayCodec* codec = nullptr;
  EndpointDirectory* directory = nullptr;
  const EndpointPicker* picker = nullptr;
  EndpointLimiter* limiter = nullptr;
  RetryBudget* budget = nullptr;
  StreamSilenceMonitor* silence = nullptr;
  EndpointProber* prober = nullptr;
  MetricRegistry* metrics = nullptr;
  EndpointAdopter* adopter = nullptr;
  RolloutController* rollouts = nullptr;
  PromptLocator* prompts = nullptr;
  PromptQuarantine* quarantine = nullptr;
  /// Null when gateways do not share the loads of engines.
  EngineLoads* loads = nullptr;
  /// Budget for incomplete answers that are buffered.
  MemoryBudget* memory = nullptr;
  RandomHook random;
  /// @returns the current configuration; null before the first one.
  std::function<std::shared_ptr<const GatewayConfig>()> config;
  /// @returns whether a request may be sent now, considering a planned stop of
  /// this daemon.
  std::function<StopVerdict(const StopQuery& query)> judge_stop;
  /// An attempt has been added to `silence`, which must be checked now.
  std::function<void()> on_monitored;
  /// Takes the time of an attempt that has run.
  std::function<void(const std::string& route, Duration time)> on_answer_time;
};

/// One exchange. It must stay alive until `on_finished` has been called.
class GatewayExchange {
 public:
  GatewayExchange(const ExchangeContext* context,
                  uint64_t number,
                  std::shared_ptr<GatewayCaller> caller,
                  GatewayRequest request,
                  std::function<void()> on_finished);
  ~GatewayExchange();
  GatewayExchange(const GatewayExchange&) = delete;
  GatewayExchange& operator=(const GatewayExchange&) = delete;

  void Start();
  /// The silence monitor has found no progress in the current attempt.
  void OnSilence(SilenceVerdict verdict);
  /// The gateway stops now: refuses a request whose answer has not begun.
  void RefuseForStop();
  /// Replaces or renews the KV cache backup of a running stream if necessary.
  /// Must be called at a regular interval.
  void MaintainBackup();
  /// A prompt part was quarantined. Ends the exchange if it has that part and
  /// no answer has begun.
  void OnQuarantined();

 private:
  /// The endpoint that may take the request from a silent one.
  struct Successor {
    const EndpointRecord* endpoint = nullptr;
    bool from_backup = false;
    /// Nothing may be sent there yet.
    bool needs_permit = false;
  };
  /// Why the current attempt is to be replaced.
  struct Silence {
    /// For the log.
    std::string_view detail;
    /// The endpoint itself may take the request on another connection.
    bool may_ask_again = false;
  };

  bool FindRoute();
  bool FindCustomer();
  void ChooseService();
  void StartTimers();

  /// @returns whether this daemon's stop, if any, leaves the time to send the
  /// request; counts a refusal.
  StopVerdict JudgeStop() const;
  bool MayStillSend() const;
  /// Ends a request that MayStillSend() has refused.
  void GiveUpForStop();
  void RecordAnswerTime();

  /// Describes the request for the choice of its engine.
  void DescribePlacement();
  std::optional<int> EnginePriority() const;
  /// Brings the loads of engines up to date, then starts the next attempt.
  void RefreshLoads();
  void LookUpPromptEndpoint();
  void StartNextAttempt();
  /// @returns the engine that has prefilled the prompt, if it seems to be
  /// alive, or null.
  const EndpointRecord* FindPromptEndpoint() const;
  EndpointChoice PickEndpoint() const;
  /// Lets silent endpoints be picked again.
  /// @returns whether there are any.
  bool ReadmitSilentEndpoints();
  /// Requests a permit for an endpoint; the next attempt starts with the
  /// answer.
  void WaitForPermit(const EndpointRecord& endpoint);
  /// Requests a permit for a better endpoint without waiting for the answer.
  /// @returns the endpoint for the attempt.
  const EndpointRecord* RequestBetter(const EndpointChoice& choice) const;
  /// @returns whether the request may wait for a permit.
  bool MayWaitForPermit();
  void ReportBegun();
  /// @returns the quarantined parts because of which the request must not be
  /// sent.
  std::vector<PromptPartHash> FindBlockingParts() const;
  /// @returns true when the request must not be sent now: it was refused, or
  /// waits to become a trial.
  bool EndIfQuarantined();
  void OnTrialAnswer(bool granted);
  void RefuseQuarantined(const std::vector<PromptPartHash>& blocking);
  /// The endpoint has cut off an attempt.
  void ReportCrash(const ExchangeAttempt& attempt);
  /// Starts the next attempt; the current one has ended.
  void StartAttempt(const EndpointRecord& endpoint, bool from_backup);
  /// Sends the request to an endpoint.
  /// @param from_backup whether it resumes from the backup of the current
  /// attempt, which is then used up.
  std::unique_ptr<ExchangeAttempt> SendTo(const EndpointRecord& endpoint,
                                          bool from_backup);
  std::unique_ptr<ExchangeAttempt> PrepareAttempt(
      const EndpointRecord& endpoint);
  /// Replaces the current attempt, which has ended.
  void SetCurrent(std::unique_ptr<ExchangeAttempt> attempt);
  /// Frees an attempt later, because this may run inside a callback of it.
  void FreeLater(std::unique_ptr<ExchangeAttempt> attempt);
  /// Records that an attempt is about to be sent.
  void OnSend(const EndpointRecord& endpoint,
              bool from_backup,
              ExchangeAttempt* attempt);
  void Connect(ExchangeAttempt* attempt, std::string message);
  bool IsSuccessor(const ExchangeAttempt* attempt) const {
    return attempt == m_successor.get();
  }
  AttemptMetadata DescribeAttempt(const EndpointRecord& endpoint,
                                  bool from_backup,
                                  ExchangeAttempt* attempt);
  std::string RenderRequest(const EndpointRecord& endpoint,
                            bool from_backup,
                            ExchangeAttempt* attempt);
  bool SupportsBackup() const;
  /// @returns the engine whose backup the stream can be resumed from, or null.
  const EndpointRecord* UsableBackupHolder() const;
  /// @param since when the silence of the current attempt began.
  void MonitorSilence(TimePoint since);

  void OnHead(const Http1Head& head);
  /// Takes the head of an attempt's answer and what it says about its endpoint.
  void ReadHead(const Http1Head& head, ExchangeAttempt* attempt);
  /// @returns whether the answer that begins with this head can end the
  /// request, or continue the stream.
  bool IsUsableAnswer(const ExchangeAttempt& attempt) const;
  /// Updates the directory with what the answer says about its endpoint.
  void UpdateEndpointState(const ExchangeAttempt& attempt);
  void UpdateRateLimit(const ExchangeAttempt& attempt);
  void OnBody(std::string_view data);
  void OnAttemptEnd(AttemptEnd end);
  /// @returns why an ended attempt has not answered the request. Reports an
  /// endpoint that another one has replaced at its address.
  std::optional<AttemptFailure> FindFailureOf(const ExchangeAttempt& attempt,
                                              AttemptEnd end) const;
  void OnAnswerComplete();
  void ForwardEvents();
  /// Forwards an event to the caller, unless the caller already has it.
  /// @returns false when events before it are missing, or may be.
  bool ForwardEvent(const RawEvent& event);
  bool IsProgress(const RawEvent& event) const;
  void RecordEventTiming();
  void OnStreamComplete();

  /// Ends a failed attempt and starts the next one if a retry is allowed.
  void FailAttempt(EndpointOutcome outcome,
                   RetryReason reason,
                   std::string_view detail);
  /// Looks for an endpoint that takes the request from the silent current
  /// attempt, which ends only when that one has accepted it.
  void ReplaceSilentAttempt(const Silence& silence);
  /// Sends the request to a successor if a retry is allowed and an endpoint is
  /// there to take it.
  /// @returns when to ask again if there is no successor until then.
  Duration TryReplaceSilentAttempt();
  /// Asks again after `wait`.
  void ScheduleReplacement(Duration wait);
  /// @returns `wait`.
  Duration KeepSilentAttempt(std::string_view reason, Duration wait);
  /// Other endpoints are preferred to that of the silent attempt, and other
  /// gateways learn of it.
  void ReportSilence();
  /// Lets endpoints that refused the request be picked again, and allows some
  /// more sends.
  void ReadmitRefusingEndpoints();
  /// @returns the endpoint that would take the request from a silent one; empty
  /// if there is none that seems sound. Requests a permit if only that is
  /// missing.
  std::optional<Successor> FindSuccessor() const;
  /// @returns the endpoint of the silent attempt, if another connection to it
  /// may help; used when no other endpoint takes the request.
  std::optional<Successor> FindSilentEndpoint() const;
  void StartSuccessor(const Successor& next);
  void OnSuccessorHead(const Http1Head& head);
  void OnSuccessorBody(std::string_view data);
  void OnSuccessorEnd(AttemptEnd end);
  /// The successor has not refused the request for a while.
  void OnAcceptanceTimeout();
  /// @returns whether an endpoint that has not refused by now has accepted.
  bool IsAcceptanceLikely() const;
  void ArmAcceptanceTimer();
  /// Ends a failed successor and looks for another one.
  void FailSuccessor(EndpointOutcome outcome,
                     RetryReason reason,
                     std::string_view detail);
  /// Ends the silent attempt; its successor becomes the current one.
  /// @param result for the metric.
  void SwitchToSuccessor(std::string_view result);
  /// The current attempt does not need its successor any more.
  void CancelSuccessor();
  std::unique_ptr<ExchangeAttempt> TakeSuccessor();
  void CountSuccessor(std::string_view result) const;
  /// Ends a failed attempt, with its line in the log.
  void EndFailedAttempt(ExchangeAttempt* attempt,
                        EndpointOutcome outcome,
                        RetryReason reason,
                        std::string_view detail);
  void EndAttempt(ExchangeAttempt* attempt, EndpointOutcome outcome);
  /// @returns whether an endpoint may have run the request.
  bool MayHaveRun() const;
  /// The current attempt has made progress.
  void EndSilence();
  /// Reports the outcome of an attempt to the rollouts.
  void ReportVersionOutcome(const ExchangeAttempt& attempt, bool failed);
  /// @returns whether the request may be sent once more, the retry budget
  /// aside.
  bool MayRetry() const;
  /// @returns whether the retry budget grants a retry, which it then counts.
  bool ChargeRetry(RetryReason reason);
  bool TryAcquireRetry(RetryReason reason);
  /// Starts the next attempt, waits for an endpoint, or ends the request.
  void RetryOrGiveUp(RetryReason reason);
  /// @returns whether the request is a stream that has begun and may go on
  /// later, when an endpoint has room for it or the retry budget grants a send.
  bool MayWaitForEndpoint() const;
  void WaitForEndpoint(RetryReason reason);

  void OnTimeout();
  void ArmAttemptTimer();
  void OnAttemptTimeout();
  void OnCallerDisconnect();
  void GiveUp(ResultCode code);
  void Refuse(ResultCode code, Duration retry_after);
  void Finish();

  bool is_stream() const;
  Duration TimeLeft() const;

  const ExchangeContext* m_context;
  const uint64_t m_number;
  std::shared_ptr<GatewayCaller> m_caller;
  const GatewayRequest m_request;
  const RequestMetadata m_metadata;
  std::function<void()> m_on_finished;
  std::shared_ptr<const GatewayConfig> m_config;
  const GatewayRoute* m_route = nullptr;
  std::string m_service;
  std::string m_customer;
  // Set for requests to engines whose loads gateways share.
  std::optional<PlacementRequest> m_placement;
  // Whether the loads are up to date for the next attempt.
  bool m_has_fresh_loads = false;
  TimePoint m_deadline;
  TimerHandle m_timer;
  // Per-attempt timeout of an idempotent request; the request is then retried
  // at another endpoint.
  TimerHandle m_attempt_timer;

  // The current attempt, or the last one. Never null.
  std::unique_ptr<ExchangeAttempt> m_current;
  // Attempt that replaces the silent current one when its endpoint has accepted
  // the request; null if there is none. Nothing of it has been forwarded.
  std::unique_ptr<ExchangeAttempt> m_successor;
  TimerHandle m_acceptance_timer;
  // The last silence of the current attempt.
  Silence m_silence;

  // Ids of the endpoints that this request has been sent to.
  std::vector<std::string> m_tried_endpoints;
  // Those of them that were left only because they were silent. They get the
  // request again when no other endpoint takes it.
  std::vector<std::string> m_silent_endpoints;
  // Those that refused the request. A kept attempt asks them again after a
  // while.
  std::vector<std::string> m_refusing_endpoints;
  // Number of attempts that may have run the request.
  int m_possible_runs = 0;
  int m_sends = 0;
  // Upper bound on m_sends.
  int m_max_sends = 0;
  // A retry has been granted, and nothing has been sent since.
  bool m_has_granted_retry = false;
  // Since the last event: whether an endpoint has refused the request, and how
  // often the stream has waited for one.
  bool m_was_refused = false;
  int m_endpoint_waits = 0;
  TimerHandle m_endpoint_timer;
  // When the request stops waiting for a permit; empty if it has not waited
  // since its last attempt.
  std::optional<TimePoint> m_permit_wait_end;
  // Id of the engine that has prefilled the prompt; empty when unknown.
  std::string m_prompt_endpoint_id;
  // This request is the trial of its quarantined parts, until one of its
  // attempts may have run.
  bool m_is_trial = false;
  // Quarantined parts because of which the request was refused, for the log.
  std::string m_blocking_parts;
  // Callbacks that outlive this object hold a weak reference, which then has
  // expired.
  std::shared_ptr<GatewayExchange*> m_alive;

  // Streams: the last event that the caller has, and whether the answer has
  // been started.
  std::optional<uint64_t> m_last_event_id;
  bool m_stream_started = false;
  // The last event has no id, so no endpoint can be told where to go on.
  bool m_position_is_unknown = false;
  uint64_t m_events_forwarded = 0;
  TimePoint m_last_event_at;
  Duration m_first_event_delay{0};
  Duration m_longest_gap{0};
  bool m_is_finished = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_EXCHANGE_H_
