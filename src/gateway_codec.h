// Hooks through which the platform's adapter encodes and decodes headers and
// engine requests.
#ifndef BRAMLEYBANK_SRC_GATEWAY_CODEC_H_
#define BRAMLEYBANK_SRC_GATEWAY_CODEC_H_

#include <functional>
#include <optional>
#include <string>

#include "engine_report.h"
#include "gateway_request.h"
#include "http_types.h"

namespace bramleybank {

struct Http1Head;

/// Translates between the platform's wire format and the gateway's types.
struct GatewayCodec {
  std::function<RequestMetadata(const HttpHeaders& headers)> decode_request;
  /// @returns the caller's headers as sent to an endpoint: without those that
  /// only the gateway may set, and with those that it sets for this attempt.
  std::function<HttpHeaders(const HttpHeaders& headers,
                            const AttemptMetadata& attempt)>
      encode_attempt;
  std::function<AnswerMetadata(const Http1Head& head,
                               const std::string& request_id)>
      decode_answer;
  /// @returns a complete request that tells an engine to copy the KV cache of a
  /// running generation to the engine at `to`.
  std::function<std::string(const std::string& request_id,
                            const std::string& to)>
      encode_copy_request;
  /// @returns nothing when the body does not contain the handle of a copy.
  std::function<std::optional<CopyAnswer>(const std::string& body)>
      decode_copy_answer;
  /// @returns a complete request that releases a copy made by
  /// encode_copy_request.
  std::function<std::string(const std::string& handle)> encode_copy_release;
  /// @returns a complete request for an engine's report.
  std::function<std::string()> encode_report_request;
  /// @returns nothing when the body is not an engine's report; other endpoints
  /// do not provide one.
  std::function<std::optional<EngineReport>(const std::string& body)>
      decode_report;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_CODEC_H_
