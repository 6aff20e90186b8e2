// Executes the actions of one stream session: engine transfers, output to the
// caller, timers and the copy.
#ifndef BRAMLEYBANK_SRC_STREAM_RUNNER_H_
#define BRAMLEYBANK_SRC_STREAM_RUNNER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "stream_action.h"
#include "stream_environment.h"
#include "stream_output.h"
#include "stream_request.h"
#include "stream_session.h"

namespace bramleybank {

class AdmissionLease;
class EngineTransfer;
class HttpResponder;
class StallDetector;
struct EngineAttempt;

/// The model version that a stream is bound to, and the engine to attach to.
struct StreamBinding {
  std::string version;
  std::string adapter;
  std::string engine;
  /// Peer that holds a copy of the stream; empty if there is none.
  std::string copy_holder;

  friend bool operator==(const StreamBinding&, const StreamBinding&) = default;
};

/// Serves one generation: connects its caller with one engine after another.
class StreamRunner {
 public:
  /// @param binding set when the stream already has output.
  /// @param lease held until the runner is destroyed; may be null.
  /// @param on_over called once, from the event loop and never from inside a
  /// method of the runner, when the runner can be destroyed.
  StreamRunner(const StreamEnvironment* environment,
               GenerationRequest request,
               StreamInitialState start,
               std::optional<StreamBinding> binding,
               std::shared_ptr<HttpResponder> responder,
               std::shared_ptr<AdmissionLease> lease,
               std::function<void()> on_over);
  ~StreamRunner();
  StreamRunner(const StreamRunner&) = delete;
  StreamRunner& operator=(const StreamRunner&) = delete;

  void Start();

  void OnCopied(uint64_t position);
  void OnUnprotected();
  /// Another daemon has taken over the stream: stops it here without cancelling
  /// it on the engine.
  void OnSuperseded();

  /// The caller has reconnected.
  /// @returns false when the tokens after `position` are not available here.
  bool Reattach(std::shared_ptr<HttpResponder> responder, uint64_t position);

  /// Asks the caller to reconnect to another daemon. The stream on the engine
  /// and the copy are left for that daemon.
  void HandOver();

  /// Refuses a request that could not be handed over because the daemon exits.
  void RefuseForExit();

  uint64_t generation() const { return m_generation; }
  const GenerationRequest& request() const { return m_request; }
  const StreamSession& session() const { return *m_session; }
  const std::string& engine() const { return m_engine; }
  std::string version() const;
  std::string adapter() const;
  bool is_buffered() const { return !m_request.stream; }

 private:
  void Apply(const StreamActions& actions);
  void Execute(const StartAttempt& action);
  void Execute(const AttachAttempt& action);
  void Execute(const CancelAttempt& action);
  void Execute(const CopyToken& action);
  void Execute(const DeliverToken& action);
  void Execute(const FinishStream& action);
  void Execute(const GiveUpStream& action);
  void Execute(const ScheduleResume& action);

  std::optional<EngineChoice> ChooseEngine(EngineRefusal* refusal);
  void BeginTransfer(const EngineAttempt& attempt, const EngineChoice& choice);
  void OpenCopy();
  void OnLost(uint32_t attempt, AttemptLoss loss, const std::string& detail);
  void OnTokenSeen();
  void StopTransfer();
  void EndTicket(EndOutcome outcome);
  void CountDrops() const;

  void OnCallerClosed(bool is_complete);
  void OnBackPressure(bool paused);
  void SendGiveUp(const GiveUpStream& action);
  OutputSource CurrentSource() const;
  void Abandon();
  void Close(bool keep_copy);
  StreamCopyInfo CopyInfo() const;

  void ArmStallTimer();
  void CheckStall();

  const StreamEnvironment* m_environment;
  const GenerationRequest m_request;
  const uint64_t m_generation;
  // Position of the last token in the copy when the stream was resumed from it.
  const uint64_t m_held_position;
  std::optional<StreamBinding> m_binding;
  std::unique_ptr<StreamSession> m_session;
  StreamOutput m_output;
  std::unique_ptr<EngineTransfer> m_transfer;
  std::unique_ptr<StallDetector> m_stall_detector;
  std::function<void()> m_on_over;

  // Keeps the request counted against its customer's limits.
  std::shared_ptr<AdmissionLease> m_lease;

  // Engine of the current or last attempt.
  std::string m_engine;
  // Valid while the router counts the current attempt.
  EngineTicket m_ticket;
  AttemptLoss m_last_loss = AttemptLoss::kRefused;
  int m_retry_after_s = 1;
  bool m_is_counted_open = false;
  // Set when the next attempt has already been charged to the retry budget.
  bool m_is_retry_granted = false;
  // Engines on which an attempt of this stream has failed, the latest last.
  std::vector<std::string> m_lost_engines;
  TimePoint m_request_time;
  TimePoint m_attempt_time;
  // Set from the loss of an attempt until the next token arrives.
  std::optional<TimePoint> m_lost_time;
  // Whether an engine may have received the request.
  bool m_may_have_run = false;
  bool m_attempt_has_token = false;
  bool m_finished = false;
  // Set when the stream was given up while a caller was connected.
  std::optional<GiveUpStream> m_given_up;
  bool m_is_over = false;
  bool m_has_copy = false;
  TimerHandle m_stall_timer;
  TimerHandle m_resume_timer;
  TimerHandle m_reconnect_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_RUNNER_H_
