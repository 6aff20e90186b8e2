// Carries out the decisions of one stream session: engine transfers, output to
// the caller, timers and the copy.
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

/// The version that a stream is bound to, and the engine to attach to.
struct StreamBinding {
  std::string version;
  std::string adapter;
  std::string engine;
  /// Peer that holds a copy of the stream; empty without one.
  std::string copy_holder;

  friend bool operator==(const StreamBinding&, const StreamBinding&) = default;
};

/// One generation between a caller and engines.
class StreamRunner {
 public:
  /// @param binding set when the stream has output already.
  /// @param lease kept until the stream is over.
  /// @param on_over called once, not inside a method of the runner, when
  /// nothing is left to do.
  StreamRunner(const StreamEnvironment* environment,
               GenerationRequest request,
               StreamStart start,
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
  /// Another daemon serves the stream: stops without cancelling the engine.
  void OnSuperseded();

  /// The caller came back over a new connection.
  /// @returns false when the tokens after `position` are not held here.
  bool Reattach(std::shared_ptr<HttpResponder> responder, uint64_t position);

  /// Asks the caller to reconnect elsewhere. The engine's stream and the copy
  /// stay for the daemon that the caller reaches.
  void HandOver();

  /// The daemon exits: tells a caller that could not be handed over.
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
  void Do(const StartAttempt& action);
  void Do(const AttachAttempt& action);
  void Do(const CancelAttempt& action);
  void Do(const CopyToken& action);
  void Do(const DeliverToken& action);
  void Do(const FinishStream& action);
  void Do(const GiveUpStream& action);
  void Do(const ScheduleResume& action);

  std::optional<EngineChoice> ChooseEngine(EngineRefusal* refusal);
  void BeginTransfer(const EngineAttempt& attempt, const EngineChoice& choice);
  void OpenCopy();
  void OnLost(uint32_t attempt, AttemptLoss loss, const std::string& detail);
  void OnTokenSeen();
  void RetireTransfer();
  void EndTicket(EndOutcome outcome);
  void CountDrops() const;

  void OnCallerClosed(bool whole);
  void OnFlow(bool paused);
  void SendGiveUp(const GiveUpStream& action);
  OutputSource Source() const;
  void Abandon();
  void EndSoon(bool keep_copy);
  StreamCopyInfo CopyInfo() const;

  void ArmStallTimer();
  void CheckStall();

  const StreamEnvironment* m_environment;
  const GenerationRequest m_request;
  const uint64_t m_generation;
  // Tokens that the copy held when the stream was resumed from it.
  const uint64_t m_held;
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
  // Valid while an attempt is counted by the routing.
  EngineTicket m_ticket;
  AttemptLoss m_last_loss = AttemptLoss::kRefused;
  int m_retry_after_s = 1;
  bool m_is_counted_open = false;
  // The next attempt was granted by the retry budget already.
  bool m_has_budget = false;
  // Engines that this stream has lost, the latest last.
  std::vector<std::string> m_lost_engines;
  TimePoint m_request_time;
  TimePoint m_attempt_time;
  // Set from the loss of an attempt until output goes on.
  std::optional<TimePoint> m_lost_time;
  // Whether an engine may have got the request.
  bool m_may_have_run = false;
  bool m_attempt_has_token = false;
  bool m_finished = false;
  // Set when the stream was given up while it had a caller.
  std::optional<GiveUpStream> m_given_up;
  bool m_is_over = false;
  bool m_has_copy = false;
  TimerHandle m_stall_timer;
  TimerHandle m_resume_timer;
  TimerHandle m_return_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_RUNNER_H_
