// Decides for one generation which chunks are forwarded, when an attempt is
// replaced, and when the stream ends.
#ifndef BRAMLEYBANK_SRC_STREAM_SESSION_H_
#define BRAMLEYBANK_SRC_STREAM_SESSION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hooks.h"
#include "stream_action.h"
#include "stream_token_list.h"

namespace bramleybank {

class ChartMachine;

/// Why an attempt ended before the answer was complete.
enum class AttemptLoss {
  /// The connection failed before a response, or the engine refused the attempt
  /// with status 409, 429 or 5xx.
  kRefused,
  /// The connection ended in the middle of the answer.
  kBroken,
  /// No token arrived before the stall deadline.
  kStalled,
  /// A token index was skipped, or the engine's final count is wrong.
  kGap,
  /// The engine's output could not be parsed.
  kMalformed,
  /// The engine no longer has the stream to attach to.
  kNotAttached,
};

std::string_view AttemptLossName(AttemptLoss loss);

/// Numbers of chunks that a session dropped, by reason.
struct StreamDropCounts {
  uint64_t late_attempt = 0;
  uint64_t other_request = 0;
  uint64_t duplicate = 0;

  friend bool operator==(const StreamDropCounts&,
                         const StreamDropCounts&) = default;
};

/// State of a stream when its session is created.
struct StreamInitialState {
  uint64_t generation = 0;
  /// Number of the first attempt; 1 for a new stream.
  uint32_t first_attempt = 1;
  /// Position of the last token that the caller has; 0 for a new stream.
  uint64_t delivered = 0;
  /// Tokens from position 1 on, recovered from a copy. They may extend beyond
  /// `delivered`.
  StreamTokenList tokens;
  /// Whether to attach to the stream that the engine still runs before a new
  /// attempt is started.
  bool attach = false;
  /// Whether tokens are delivered only after their copy is acknowledged.
  bool is_protected = false;

  friend bool operator==(const StreamInitialState&,
                         const StreamInitialState&) = default;
};

/// Makes the decisions for one generation without doing any I/O. Invariants:
/// positions are delivered in order, each once; at most one attempt is current;
/// no action follows FinishStream or GiveUpStream, except CancelAttempt.
class StreamSession {
 public:
  StreamSession(StreamInitialState start, ClockHook clock, RandomHook random);
  ~StreamSession();
  StreamSession(const StreamSession&) = delete;
  StreamSession& operator=(const StreamSession&) = delete;

  StreamActions Start();

  /// A chunk arrived on the transfer of `attempt`.
  StreamActions OnChunk(uint32_t attempt,
                        uint64_t generation,
                        uint32_t chunk_attempt,
                        uint64_t index,
                        std::string_view text);
  /// The engine reports that the answer is complete with `count` tokens.
  StreamActions OnEnd(uint32_t attempt,
                      uint64_t generation,
                      uint32_t chunk_attempt,
                      uint64_t count,
                      std::string_view reason);
  StreamActions OnLost(uint32_t attempt, AttemptLoss loss);
  /// The engine rejects the request itself, so other engines would as well.
  StreamActions OnRejected(uint32_t attempt, std::string_view detail);
  /// No endpoint could be chosen for the attempt.
  StreamActions OnNoEndpoint(uint32_t attempt, const Reason& reason);
  StreamActions OnResumeDue();

  /// The copy holds all tokens up to `position`.
  StreamActions OnCopied(uint64_t position);
  /// Tokens are delivered without waiting for the copy from now on.
  StreamActions OnUnprotected();
  /// Tokens are delivered only after their copy is acknowledged from now on.
  void OnProtected();
  /// Another daemon has taken over the stream.
  StreamActions OnSuperseded();

  /// The caller has reconnected and has the tokens up to `position`.
  /// @returns actions that deliver the tokens after `position`, or nothing when
  /// the session does not have them.
  std::optional<StreamActions> OnCallerReconnected(uint64_t position);

  uint32_t attempt() const { return m_attempt; }
  uint64_t received() const { return m_base + m_tokens.size(); }
  uint64_t delivered() const { return m_delivered; }
  /// tokens() starts at position base() + 1.
  uint64_t base() const { return m_base; }
  const StreamTokenList& tokens() const { return m_tokens; }
  bool is_over() const;
  bool is_attempt_running() const;
  /// @returns whether tokens are delivered only after their copy is
  /// acknowledged.
  bool is_protected() const { return m_protected; }
  const StreamDropCounts& drops() const { return m_drops; }
  /// Number of attempts after the first one.
  uint32_t resumes() const { return m_resumes; }

 private:
  void Fire(std::string_view event);
  bool IsCurrent(uint32_t attempt, uint64_t generation, uint32_t chunk_attempt);
  StreamActions ReplaceAttempt(AttemptLoss loss);
  StreamActions GiveUp(ResultCode code, std::string detail);
  void AppendDeliveries(StreamActions* actions);
  void FinishIfComplete(StreamActions* actions);
  Duration ResumeDelay();

  const uint64_t m_generation;
  const bool m_attach_first;
  const ClockHook m_clock;
  const RandomHook m_random;
  std::unique_ptr<ChartMachine> m_chart;

  // Invariant: m_base <= m_delivered <= received().
  uint64_t m_base = 0;
  StreamTokenList m_tokens;
  uint64_t m_delivered = 0;
  uint64_t m_copied = 0;
  bool m_protected = false;
  // Set for a stream that has had a copy: it becomes protected again as soon as
  // the copy has all received tokens.
  bool m_reprotect_when_copied = false;

  uint32_t m_attempt = 0;
  uint32_t m_resumes = 0;
  // Attempts lost since the last new token; 0 while output flows.
  int m_attempts_without_progress = 0;
  // Set while output is interrupted.
  std::optional<TimePoint> m_interrupted_since;
  // Set once the engine has reported that the answer is complete.
  std::optional<std::string> m_finish_reason;
  StreamDropCounts m_drops;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_SESSION_H_
