// Counter and log line of messages on the peer port that are refused.
#ifndef BRAMLEYBANK_SRC_RELAY_REFUSAL_H_
#define BRAMLEYBANK_SRC_RELAY_REFUSAL_H_

#include <cstddef>
#include <string_view>

namespace bramleybank {

class MetricRegistry;

inline constexpr char kRelayAnswersMetric[] = "bramleybank_relay_answers_total";

/// A message could not be decoded.
void ReportMalformedMessage(MetricRegistry* metrics, size_t bytes);
/// A message names a sender that is not listed.
void ReportUnknownSender(MetricRegistry* metrics, std::string_view sender);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_RELAY_REFUSAL_H_
