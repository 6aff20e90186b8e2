// Counts and logs messages on the peer port that are refused.
#ifndef BRAMLEYBANK_SRC_RELAY_REFUSAL_H_
#define BRAMLEYBANK_SRC_RELAY_REFUSAL_H_

#include <cstddef>
#include <string_view>

namespace bramleybank {

class MetricRegistry;

inline constexpr char kRelayAnswersMetric[] = "bramleybank_relay_answers_total";

/// Reports a message that could not be decoded.
void ReportMalformedMessage(MetricRegistry* metrics, size_t bytes);
/// Reports a message whose sender is not a listed gateway.
void ReportUnknownSender(MetricRegistry* metrics, std::string_view sender);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_RELAY_REFUSAL_H_
