// Decides for one generation which chunks are passed on, when an attempt is
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

/// Why an attempt ended before the answer was whole.
enum class AttemptLoss {
  /// The connection was never accepted, or the engine answered with 5xx.
  kRefused,
  /// The connection ended in the middle.
  kBroken,
  /// No token arrived in time.
  kStalled,
  /// An index was skipped or the engine's count is wrong.
  kGap,
  /// The engine's output could not be parsed.
  kMalformed,
  /// The engine does not have the stream that was to be attached to.
  kNotAttached,
};

std::string_view AttemptLossName(AttemptLoss loss);

/// Counters of what a session dropped.
struct StreamDropCounts {
  uint64_t late_attempt = 0;
  uint64_t other_request = 0;
  uint64_t duplicate = 0;

  friend bool operator==(const StreamDropCounts&,
                         const StreamDropCounts&) = default;
};

/// What is known of a stream when a session is created.
struct StreamStart {
  uint64_t generation = 0;
  /// Attempt number to be used first; 1 for a new stream.
  uint32_t first_attempt = 1;
  /// Position that the caller has; 0 for a new stream.
  uint64_t delivered = 0;
  /// Tokens from position 1 on, from a copy; may reach beyond `delivered`.
  StreamTokenList tokens;
  /// Whether the engine's own stream is tried first.
  bool attach = false;
  /// Whether tokens wait for the acknowledgement of their copy.
  bool is_protected = false;

  friend bool operator==(const StreamStart&, const StreamStart&) = default;
};

/// The decision class of one generation. Invariants: positions are delivered
/// in order, each once; at most one attempt is current; no action follows
/// FinishStream or GiveUpStream, except CancelAttempt.
class StreamSession {
 public:
  StreamSession(StreamStart start, ClockHook clock, RandomHook random);
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
  /// The engine says that the answer is whole.
  StreamActions OnEnd(uint32_t attempt,
                      uint64_t generation,
                      uint32_t chunk_attempt,
                      uint64_t count,
                      std::string_view reason);
  StreamActions OnLost(uint32_t attempt, AttemptLoss loss);
  /// The engine refuses the request itself; no other engine would take it.
  StreamActions OnRejected(uint32_t attempt, std::string_view detail);
  /// No endpoint could be chosen for the attempt.
  StreamActions OnNoEndpoint(uint32_t attempt, const Reason& reason);
  StreamActions OnResumeDue();

  /// The copy holds all tokens up to `position`.
  StreamActions OnCopied(uint64_t position);
  /// Tokens no longer wait for the copy.
  StreamActions OnUnprotected();
  /// Tokens wait for their copy from now on.
  void OnProtected();
  /// Another daemon serves the stream now.
  StreamActions OnSuperseded();

  /// The caller came back and has the tokens up to `position`.
  /// @returns the tokens after it, or nothing when they are not held here.
  std::optional<StreamActions> OnCallerBack(uint64_t position);

  uint32_t attempt() const { return m_attempt; }
  uint64_t received() const { return m_base + m_tokens.size(); }
  uint64_t delivered() const { return m_delivered; }
  /// First position held is base() + 1.
  uint64_t base() const { return m_base; }
  const StreamTokenList& tokens() const { return m_tokens; }
  bool is_over() const;
  bool is_attempt_running() const;
  /// @returns whether tokens wait for their copy.
  bool is_protected() const { return m_protected; }
  const StreamDropCounts& drops() const { return m_drops; }
  /// Attempts after the first that were needed.
  uint32_t resumes() const { return m_resumes; }

 private:
  void Fire(std::string_view event);
  bool IsCurrent(uint32_t attempt, uint64_t generation, uint32_t chunk_attempt);
  StreamActions ReplaceAttempt(AttemptLoss loss);
  StreamActions GiveUp(ResultCode code, std::string detail);
  void AppendDeliveries(StreamActions* actions);
  void FinishIfWhole(StreamActions* actions);
  Duration ResumeDelay();

  const uint64_t m_generation;
  const bool m_attaches;
  const ClockHook m_clock;
  const RandomHook m_random;
  std::unique_ptr<ChartMachine> m_chart;

  // Invariant: m_base <= m_delivered <= received().
  uint64_t m_base = 0;
  StreamTokenList m_tokens;
  uint64_t m_delivered = 0;
  uint64_t m_copied = 0;
  bool m_protected = false;
  // A stream that once had a copy is protected again when it has caught up.
  bool m_wants_copy = false;

  uint32_t m_attempt = 0;
  uint32_t m_resumes = 0;
  // Attempts since the last new token; 0 while output flows.
  int m_attempts_without_progress = 0;
  // Set while output is interrupted.
  std::optional<TimePoint> m_interrupted_since;
  // Set once the engine has said that the answer is whole.
  std::optional<std::string> m_finish_reason;
  StreamDropCounts m_drops;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_SESSION_H_
