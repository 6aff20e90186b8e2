// Faults injected into the engine stand-in through POST /control.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_ENGINE_FAULTS_H_
#define BRAMLEYBANK_TOOLS_STANDIN_ENGINE_FAULTS_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"

namespace bramleybank::standin {

enum class StreamFaultKind {
  kNone,
  /// The process exits after the token.
  kExit,
  /// The connection is closed after the token; the generation continues.
  kClose,
  /// No tokens are generated for some time after the token.
  kFreeze,
  /// The chunk of the token is sent twice.
  kDuplicate,
  /// The chunk of the token is not sent.
  kSkip,
  /// Half of the chunk's JSON is sent.
  kTruncate,
  /// A chunk of another request with the same index is sent before the token.
  kForeign,
};

/// A fault that one stream shows at one token.
struct StreamFault {
  StreamFaultKind kind = StreamFaultKind::kNone;
  /// Position of the token, from 1.
  uint64_t token = 1;
  /// Used only by kFreeze.
  Duration freeze_duration{0};

  friend bool operator==(const StreamFault&, const StreamFault&) = default;
};

/// Combined effect of the version faults on one request.
struct RequestEffect {
  /// The request is answered with status 500.
  bool fail = false;
  /// Multiplier of prefill time and token interval.
  double slowdown = 1;
  /// Tokens after this position carry a wrong chain hash; 0 means none.
  uint64_t wrong_after = 0;

  friend bool operator==(const RequestEffect&, const RequestEffect&) = default;
};

/// Active faults. Apply() takes one JSON object with any of these members
/// (defaults in parentheses):
///   "stream_fault": "exit" | "close" | "freeze" | "duplicate" | "skip" |
///     "truncate" | "foreign", with "token" (1), "ms" (only freeze, 1000),
///     "count" of streams (1) and "generation" (any)
///   "version_fault": "fail" | "slow" | "wrong_tokens", with "version" (any),
///     "after_requests" (0), "after_s" (0), "above_load" of running and waiting
///     requests (-1), "route" text that the prompt contains (any), "factor"
///     (only slow, 10), "token" (only wrong_tokens, 32)
///   "keep_old_readers": bool; a replaced attempt continues to send
///   "leaving": bool; load reports announce that the engine is about to stop
///   "clear": true; removes all faults first
class EngineFaults {
 public:
  /// @param error set to the reason on failure.
  /// @returns whether `control` was valid. Members read before an invalid one
  /// stay applied.
  bool Apply(const nlohmann::json& control, TimePoint now, std::string* error);

  /// Consumes one use of the first fault that matches a new stream.
  /// @returns the fault, or one of kind kNone.
  StreamFault TakeStreamFault(std::string_view generation);

  /// Counts the request and determines which version faults apply to it.
  /// @param load number of running and waiting requests.
  RequestEffect OnRequest(std::string_view version,
                          std::string_view prompt,
                          int64_t load,
                          TimePoint now);

  bool keeps_old_readers() const { return m_keep_old_readers; }
  bool is_leaving() const { return m_is_leaving; }

 private:
  enum class VersionFaultKind { kFail, kSlow, kWrongTokens };

  struct PendingStreamFault {
    StreamFault fault;
    // Streams that the fault still applies to.
    int64_t count = 1;
    std::string generation;
  };
  struct VersionFault {
    VersionFaultKind kind = VersionFaultKind::kFail;
    std::string version;
    int64_t after_requests = 0;
    TimePoint start_time;
    int64_t above_load = -1;
    std::string route;
    double factor = 1;
    uint64_t token = 0;
    int64_t requests_seen = 0;
  };

  bool AddStreamFault(const nlohmann::json& control);
  bool AddVersionFault(const nlohmann::json& control, TimePoint now);

  std::vector<PendingStreamFault> m_stream_faults;
  std::vector<VersionFault> m_version_faults;
  bool m_keep_old_readers = false;
  bool m_is_leaving = false;
};

}  // namespace bramleybank::standin

#endif  // BRAMLEYBANK_TOOLS_STANDIN_ENGINE_FAULTS_H_
