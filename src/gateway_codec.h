// Hooks through which the platform's adapter translates headers.
#ifndef BRAMLEYBANK_SRC_GATEWAY_CODEC_H_
#define BRAMLEYBANK_SRC_GATEWAY_CODEC_H_

#include <functional>
#include <optional>
#include <string>

#include "gateway_request.h"
#include "http_types.h"

namespace bramleybank {

struct Http1Head;

/// Translation between headers and the gateway's own values.
struct GatewayCodec {
  std::function<RequestMetadata(const HttpHeaders& headers)> decode_request;
  /// @returns the caller's headers for an endpoint: without those that only
  /// the gateway may set, with those that it sets for this attempt.
  std::function<HttpHeaders(const HttpHeaders& headers,
                            const AttemptMetadata& attempt)>
      encode_attempt;
  std::function<AnswerMetadata(const Http1Head& head,
                               const std::string& request_id)>
      decode_answer;
  /// @returns a whole request that orders an engine to copy the memory of a
  /// run to the engine at `to`, while the run goes on.
  std::function<std::string(const std::string& request_id,
                            const std::string& to)>
      encode_copy_request;
  /// @returns nothing when the body does not name a copy.
  std::function<std::optional<CopyAnswer>(const std::string& body)>
      decode_copy_answer;
  /// @returns a whole request that frees a copy made by order.
  std::function<std::string(const std::string& handle)> encode_copy_release;
  /// @returns a whole request for the report of an engine.
  std::function<std::string()> encode_report_request;
  /// @returns whether the body is the report of an engine, which other
  /// endpoints do not give.
  std::function<bool(const std::string& body)> is_engine_report;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_CODEC_H_
