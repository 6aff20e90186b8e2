// Messages in which gateways tell each other the load of engines.
#ifndef BRAMLEYBANK_SRC_LOAD_MESSAGE_H_
#define BRAMLEYBANK_SRC_LOAD_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "engine_load.h"

namespace bramleybank {

struct Reason;

/// Incremented with every change of a message that older releases cannot skip.
inline constexpr uint32_t kLoadFormatVersion = 1;

/// Path of the requests on the peer port.
inline constexpr char kPathLoads[] = "/relay/loads";

enum class LoadMessageKind : uint8_t {
  /// The load of the sender.
  kReport = 0,
  /// The same; the answer has the load of all other gateways.
  kQuery = 1,
  /// The load of the gateways of the sender's failure domain.
  kDomainTotals = 2,
};

/// Load that a gateway knows. Tokens are sent in units of kLoadTokenUnit,
/// speeds in whole tokens per second.
struct LoadMessage {
  uint32_t format = kLoadFormatVersion;
  /// Name of the gateway that sends it.
  std::string sender;
  LoadMessageKind kind = LoadMessageKind::kReport;
  LoadReport report;

  friend bool operator==(const LoadMessage&, const LoadMessage&) = default;
};

/// Answer to a LoadMessage; empty unless that is a query.
struct LoadAnswer {
  uint32_t format = kLoadFormatVersion;
  LoadReport report;

  friend bool operator==(const LoadAnswer&, const LoadAnswer&) = default;
};

std::string EncodeLoadMessage(const LoadMessage& message);
std::string EncodeLoadAnswer(const LoadAnswer& answer);

/// Decode bytes from another gateway. Never throw.
/// @param error set to kPeerBadMessage when decoding fails or a value is out of
/// its range; may be null.
std::optional<LoadMessage> DecodeLoadMessage(std::string_view bytes,
                                             Reason* error = nullptr);
std::optional<LoadAnswer> DecodeLoadAnswer(std::string_view bytes,
                                           Reason* error = nullptr);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_LOAD_MESSAGE_H_
