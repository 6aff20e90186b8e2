// Faults that the engine stand-in is told to show through POST /control.
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
  /// The connection is closed after the token; the stream goes on.
  kClose,
  /// No token for some time after the token.
  kFreeze,
  /// The chunk of the token is sent twice.
  kDuplicate,
  /// The chunk of the token is not sent.
  kSkip,
  /// Half of the chunk's JSON is sent.
  kTruncate,
  /// A chunk of another request with the same index is sent first.
  kForeign,
};

/// A fault of one stream at one token.
struct StreamFault {
  StreamFaultKind kind = StreamFaultKind::kNone;
  /// Position of the token, from 1.
  uint64_t token = 1;
  /// Length of a freeze.
  Duration freeze_duration{0};

  friend bool operator==(const StreamFault&, const StreamFault&) = default;
};

/// What the version faults do to one request.
struct RequestEffect {
  /// Answered with 500.
  bool fail = false;
  /// Factor on prefill time and token interval.
  double slowdown = 1;
  /// Tokens after this position are wrong; 0 means none.
  uint64_t wrong_after = 0;

  friend bool operator==(const RequestEffect&, const RequestEffect&) = default;
};

/// Faults in force. `Apply` takes one JSON object with any of:
///   "stream_fault": "exit" | "close" | "freeze" | "duplicate" | "skip" |
///     "truncate" | "foreign", with "token" (1), "ms" (freeze), "count" of
///     streams (1) and "generation" (any)
///   "version_fault": "fail" | "slow" | "wrong_tokens", with "version" (any),
///     "after_requests" (0), "after_s" (0), "above_load" of running and waiting
///     requests (-1), "route" marker in the prompt (any), "factor" (slow, 10),
///     "token" (wrong_tokens, 32)
///   "keep_old_readers": bool; a replaced attempt goes on sending
///   "leaving": bool; load reports say that the engine is about to stop
///   "clear": true; ends all faults
class EngineFaults {
 public:
  /// @param error set to the reason when nothing was applied.
  bool Apply(const nlohmann::json& control, TimePoint now, std::string* error);

  /// @returns the fault of a stream that starts now, and uses it up.
  StreamFault TakeStreamFault(std::string_view generation);

  /// Counts the request and decides on it.
  /// @param load requests running and waiting.
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
