// Refusals in the JSON form that callers get.
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

/// What a refused caller may assume about its request.
enum class RefusalOutcome {
  /// No byte of the request can have reached an endpoint.
  kNotRun,
  /// The request may have run.
  kUnknown,
};

/// One refusal.
struct HttpRefusal {
  /// Any code except kOk; decides the HTTP status.
  ResultCode code = ResultCode::kOverloaded;
  /// Text for people; the meaning of the code is used when it is empty.
  std::string message;
  RefusalOutcome outcome = RefusalOutcome::kNotRun;
  /// Position that a stream has reached.
  std::optional<uint64_t> position;
  /// Seconds after which another try makes sense.
  std::optional<int> retry_after_s;

  friend bool operator==(const HttpRefusal&, const HttpRefusal&) = default;
};

/// @returns `{"error":{"code":..,"name":..,"message":..,"outcome":..}}`.
std::string FormatRefusal(const HttpRefusal& refusal);

/// @returns Content-Type and, where set, Retry-After.
HttpHeaders RefusalHeaders(const HttpRefusal& refusal);

/// Answers with a refusal, counts it in
/// `bramleybank_refusals_total{reason="<name>"}` and logs it.
void SendRefusal(HttpResponder* responder,
                 const HttpRefusal& refusal,
                 MetricRegistry* metrics);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_REFUSAL_H_
