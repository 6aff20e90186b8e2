// Decides which requests a stopping gateway still sends to endpoints.
#ifndef BRAMLEYBANK_SRC_STOP_ADMISSION_H_
#define BRAMLEYBANK_SRC_STOP_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"

namespace bramleybank {

struct GatewayRoute;

/// Why a request may not be sent, or that it may.
enum class StopVerdict : uint8_t {
  kSend,
  /// A stream that has not begun.
  kStream,
  /// The stop is about to end.
  kEnding,
  /// Too few answers of the route are known, and the longest time that the
  /// request may take is too long.
  kUnknownTime,
  /// Answers of the route take too long.
  kTooLong,
};

/// @returns the label of a verdict in metrics.
std::string_view NameOf(StopVerdict verdict);

/// A request that is about to be sent.
struct StopQuery {
  const GatewayRoute* route = nullptr;
  /// Until its deadline.
  Duration time_left{0};
  /// No endpoint can have run it yet.
  bool is_first = true;
};

/// Knows how long answers have taken on each route, and sends a request in a
/// stop only if its answer can be expected before the end. A non-idempotent
/// request that is cut cannot be repeated, so it needs more time in reserve
/// than an idempotent one; one that was not sent is served elsewhere.
class StopAdmission {
 public:
  /// @param time from the sending of a request to the end of its answer.
  /// Failures do not count: they can be much faster than the work.
  void OnAnswer(const std::string& route, Duration time);

  /// @param stop_left until the stop ends what is still open.
  StopVerdict Judge(const StopQuery& query, Duration stop_left) const;

 private:
  /// Times of the last answers of a route.
  struct AnswerTimes {
    std::vector<Duration> last;
    size_t next = 0;
  };

  /// @returns the times of the route, or null when they are too few.
  const AnswerTimes* Find(const GatewayRoute& route) const;

  // At most kMaxAnswerTimeRoutes entries.
  std::map<std::string, AnswerTimes, std::less<>> m_routes;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STOP_ADMISSION_H_
