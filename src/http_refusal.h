// Refusals: error responses with a JSON body for callers and operators.
#ifndef BRAMLEYBANK_SRC_HTTP_REFUSAL_H_
#define BRAMLEYBANK_SRC_HTTP_REFUSAL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "bramleybank/result_code.h"
#include "http_types.h"

namespace bramleybank {

class HttpResponder;
class MetricRegistry;

/// Whether a refused request may have been executed.
enum class RefusalOutcome {
  /// The request was not executed: no byte of it can have reached an endpoint.
  kNotRun,
  /// The request may have been executed.
  kUnknown,
};

/// Contents of one refusal.
struct HttpRefusal {
  /// Any code except kOk. It determines the HTTP status.
  ResultCode code = ResultCode::kOverloaded;
  /// Human-readable text. If it is empty, the meaning of the code is used.
  std::string message;
  RefusalOutcome outcome = RefusalOutcome::kNotRun;
  /// Position that the stream has reached.
  std::optional<uint64_t> position;
  /// Seconds after which the caller should retry.
  std::optional<int> retry_after_s;

  friend bool operator==(const HttpRefusal&, const HttpRefusal&) = default;
};

/// @returns `{"error":{"code":..,"name":..,"message":..,"outcome":..}}`.
std::string FormatRefusal(const HttpRefusal& refusal);

/// @returns Content-Type and, if retry_after_s is set, Retry-After.
HttpHeaders RefusalHeaders(const HttpRefusal& refusal);

/// Responds with a refusal, logs it, and counts it in
/// `bramleybank_refusals_total{reason="<name>"}`.
void SendRefusal(HttpResponder* responder,
                 const HttpRefusal& refusal,
                 MetricRegistry* metrics);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_REFUSAL_H_
