// Expected times of answers, compared with the rest of a stop.
#include "stop_admission.h"

#include <algorithm>

#include "bramleybank/limits.h"
#include "gateway_config.h"

namespace bramleybank {
namespace {

/// @returns the time that answers are expected to take at most.
Duration ExpectedTime(std::vector<Duration> times, bool idempotent) {
  if (!idempotent) {
    const Duration longest = *std::ranges::max_element(times);
    return longest + longest / kUnsafeStopReserveShare + kUnsafeStopReserve;
  }
  const auto quantile =
      times.begin() + static_cast<std::ptrdiff_t>(
                          times.size() * kSafeStopQuantilePercent / 100);
  std::ranges::nth_element(times, quantile);
  return *quantile + kDrainRefuseTime;
}

}  // namespace

std::string_view NameOf(StopVerdict verdict) {
  switch (verdict) {
    case StopVerdict::kSend:
      return "send";
    case StopVerdict::kStream:
      return "stream";
    case StopVerdict::kEnding:
      return "ending";
    case StopVerdict::kUnknownTime:
      return "unknown_time";
    case StopVerdict::kTooLong:
      return "too_long";
  }
  return "";
}

void StopAdmission::OnAnswer(const std::string& route, Duration time) {
  if (m_routes.size() >= kMaxAnswerTimeRoutes && !m_routes.contains(route)) {
    // Routes that the configuration no longer has; the others are soon known
    // again.
    m_routes.clear();
  }
  AnswerTimes& times = m_routes[route];
  if (times.last.size() < kAnswerTimesPerRoute) {
    times.last.push_back(time);
    return;
  }
  times.last[times.next] = time;
  times.next = (times.next + 1) % times.last.size();
}

const StopAdmission::AnswerTimes* StopAdmission::Find(
    const GatewayRoute& route) const {
  const auto it = m_routes.find(route.name);
  const bool is_known =
      it != m_routes.end() && it->second.last.size() >= kMinAnswerTimes;
  return is_known ? &it->second : nullptr;
}

StopVerdict StopAdmission::Judge(const StopQuery& query,
                                 Duration stop_left) const {
  const GatewayRoute& route = *query.route;
  const bool is_stream = route.kind == RequestKind::kStream;
  if (is_stream && query.is_first) {
    return StopVerdict::kStream;
  }
  if (stop_left <= kDrainRefuseTime) {
    return StopVerdict::kEnding;
  }
  // A stream that is moved goes on as long as it can; its caller gets the rest
  // elsewhere.
  if (query.time_left <= stop_left || (is_stream && route.IsIdempotent())) {
    return StopVerdict::kSend;
  }
  const AnswerTimes* times = Find(route);
  if (times != nullptr) {
    return ExpectedTime(times->last, route.IsIdempotent()) <= stop_left
               ? StopVerdict::kSend
               : StopVerdict::kTooLong;
  }
  const bool is_likely = route.IsIdempotent() &&
                         route.latency_target + kDrainRefuseTime <= stop_left;
  return is_likely ? StopVerdict::kSend : StopVerdict::kUnknownTime;
}

}  // namespace bramleybank
