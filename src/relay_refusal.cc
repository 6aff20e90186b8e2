// Counts and logs refused peer messages.
#include "relay_refusal.h"

#include "log_event.h"
#include "metric_registry.h"

namespace bramleybank {

void ReportMalformedMessage(MetricRegistry* metrics, size_t bytes) {
  metrics->Count(kRelayAnswersMetric, "result", "malformed");
  LogLine(LogEventId::kRelayMalformed)
      .Field("bytes", static_cast<long long>(bytes));
}

void ReportUnknownSender(MetricRegistry* metrics, std::string_view sender) {
  metrics->Count(kRelayAnswersMetric, "result", "unknown_sender");
  LogLine(LogEventId::kRelaySenderUnknown).Field("sender", sender);
}

}  // namespace bramleybank
