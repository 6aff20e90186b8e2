// Messages with which a gateway reads tables of the metadata store from another
// gateway, hands over its rollout evidence and the prompts of its streams, and
// asks for permits of endpoints that limit the rate of their requests and for
// the newest configuration.
#ifndef BRAMLEYBANK_SRC_RELAY_MESSAGE_H_
#define BRAMLEYBANK_SRC_RELAY_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endpoint_permit.h"
#include "metadata_store.h"

namespace bramleybank {

struct Reason;

/// Incremented with every change of a message that older releases cannot skip.
inline constexpr uint32_t kRelayFormatVersion = 1;

// Paths of the requests on the peer port.
inline constexpr char kPathRelayRows[] = "/relay/rows";
inline constexpr char kPathRelayEvidence[] = "/relay/evidence";
inline constexpr char kPathRelayPrompts[] = "/relay/prompts";
inline constexpr char kPathRelayPromptQuery[] = "/relay/prompt-query";
inline constexpr char kPathRelayPermitQuery[] = "/relay/permit-query";
inline constexpr char kPathRelayConfigQuery[] = "/relay/config-query";

/// Reads the rows of a table, or waits for changes to them.
struct RelayQuery {
  uint32_t format = kRelayFormatVersion;
  /// Name of the gateway that sends the query.
  std::string sender = {};
  std::string table = {};
  /// Longest wait for changes, in milliseconds; 0 reads rows.
  uint32_t wait_ms = 0;
  /// For a wait: returns the changes after this version of the store.
  uint64_t version = 0;
  /// For a read: returns the rows whose keys are above this one.
  std::string after = {};
  /// Era of `version`; empty when the sender does not know about eras.
  std::optional<uint64_t> era = {};

  friend bool operator==(const RelayQuery&, const RelayQuery&) = default;
};

enum class RelayStatus : uint8_t {
  kOk = 0,
  /// The requested version is older than the changes that the relay has kept.
  kHistoryGone = 1,
  /// This gateway does not read the table from the store at present.
  kNotReader = 2,
  /// The store does not answer this gateway.
  kStoreLost = 3,
  /// The sender is not a known gateway.
  kUnknownSender = 4,
};

/// Answer to a RelayQuery.
struct RelayAnswer {
  uint32_t format = kRelayFormatVersion;
  RelayStatus status = RelayStatus::kStoreLost;
  /// Age of the store's answer that this one is based on, in milliseconds.
  uint32_t age_ms = 0;
  /// Version of the store that the rows reflect. All rows are of its era.
  StoreVersion version = {};
  bool has_more = false;
  std::vector<StoreRow> rows = {};

  friend bool operator==(const RelayAnswer&, const RelayAnswer&) = default;
};

/// Answer counts of both versions of a rollout that a gateway has collected
/// since its last hand-over.
struct RelayEvidence {
  uint32_t format = kRelayFormatVersion;
  std::string sender = {};
  std::string service = {};
  /// Report, encoded as in its row; see rollout_records.h.
  std::string report = {};

  friend bool operator==(const RelayEvidence&, const RelayEvidence&) = default;
};

/// Engines that have prefilled the prompts of a gateway's streams since its
/// last hand-over.
struct RelayPrompts {
  uint32_t format = kRelayFormatVersion;
  std::string sender = {};
  /// Encoded as a row; see prompt_locations.h.
  std::string row = {};

  friend bool operator==(const RelayPrompts&, const RelayPrompts&) = default;
};

/// Asks which engine has prefilled a prompt. The answer is the id of the
/// engine, or empty when none is known.
struct RelayPromptQuery {
  uint32_t format = kRelayFormatVersion;
  std::string sender = {};
  uint64_t prompt = 0;

  friend bool operator==(const RelayPromptQuery&,
                         const RelayPromptQuery&) = default;
};

/// Asks the gateway that issues the permits of an endpoint. Rates are sent in
/// thousandths of a request per second, times in milliseconds.
struct RelayPermitQuery {
  uint32_t format = kRelayFormatVersion;
  std::string sender = {};
  PermitQuery query = {};

  friend bool operator==(const RelayPermitQuery&,
                         const RelayPermitQuery&) = default;
};

/// Answer to a RelayPermitQuery.
struct RelayPermitAnswer {
  uint32_t format = kRelayFormatVersion;
  PermitAnswer answer = {};

  friend bool operator==(const RelayPermitAnswer&,
                         const RelayPermitAnswer&) = default;
};

/// Asks for the configuration that a gateway has in force.
struct RelayConfigQuery {
  uint32_t format = kRelayFormatVersion;
  std::string sender = {};
  /// Operator's version of the configuration that the sender has.
  uint64_t known_version = 0;

  friend bool operator==(const RelayConfigQuery&,
                         const RelayConfigQuery&) = default;
};

/// Answer to a RelayConfigQuery.
struct RelayConfigAnswer {
  uint32_t format = kRelayFormatVersion;
  /// The configuration as the operator wrote it; empty when it is not newer
  /// than the known one.
  std::string value = {};

  friend bool operator==(const RelayConfigAnswer&,
                         const RelayConfigAnswer&) = default;
};

std::string EncodeRelayMessage(const RelayQuery& message);
std::string EncodeRelayMessage(const RelayAnswer& message);
std::string EncodeRelayMessage(const RelayEvidence& message);
std::string EncodeRelayMessage(const RelayPrompts& message);
std::string EncodeRelayMessage(const RelayPromptQuery& message);
std::string EncodeRelayMessage(const RelayPermitQuery& message);
std::string EncodeRelayMessage(const RelayPermitAnswer& message);
std::string EncodeRelayMessage(const RelayConfigQuery& message);
std::string EncodeRelayMessage(const RelayConfigAnswer& message);

/// Decodes bytes from another gateway. Never throws; memory is bounded by
/// kMaxPeerBodyBytes and kMaxPeerMessageItems.
/// @tparam Message one of the message structs above.
/// @param error set to kPeerBadMessage when decoding fails; may be null.
template <typename Message>
std::optional<Message> DecodeRelayMessage(std::string_view bytes,
                                          Reason* error = nullptr);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_RELAY_MESSAGE_H_
