// One numbered change of the configuration, its JSON form and its log key.
#ifndef BRAMLEYBANK_SRC_CONFIG_CHANGE_H_
#define BRAMLEYBANK_SRC_CONFIG_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "bramleybank/result_code.h"
#include "config_snapshot.h"

namespace bramleybank {

enum class ConfigAction { kAdd, kReplace, kRemove, kMarkLeaving };

/// The element that a change adds, replaces, removes or marks. An action that
/// needs only the name leaves the other fields at their defaults.
using ConfigSubject =
    std::variant<EndpointConfig, ServiceConfig, CustomerConfig>;

/// A change as it is stored in the log.
struct ConfigChange {
  /// Position in the log; 0 until the change is accepted.
  uint64_t number = 0;
  /// Idempotency key, chosen by the operator's tool, by which a repeated
  /// request is recognised.
  std::string id;
  ConfigAction action = ConfigAction::kAdd;
  ConfigSubject subject;

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

/// Reads `{"number":n,"id":"...","action":"add"|"replace"|"remove"|
/// "mark_leaving","endpoint"|"service"|"customer":{...}}` with the fields of
/// the snapshot. Fields that this release does not know are ignored.
/// @param error set to the first error when the change is refused.
std::optional<ConfigChange> ParseConfigChange(std::string_view json,
                                              Reason* error);
std::string FormatConfigChange(const ConfigChange& change);

/// @returns address of an endpoint, name of a service or customer.
const std::string& ConfigSubjectName(const ConfigSubject& subject);

/// Checks everything that does not depend on the current configuration: id,
/// names, addresses, and whether the action can be applied to the subject.
/// @returns the first error, or nullopt for a valid change.
std::optional<Reason> CheckConfigChange(const ConfigChange& change);

/// @returns the key of the log row that holds the change with this number.
std::string ConfigLogKey(uint64_t number);

/// @returns the change number in a row key, or nullopt for any other key.
std::optional<uint64_t> ParseConfigLogKey(std::string_view key);

inline constexpr std::string_view kConfigLogPrefix = "config/log/";
inline constexpr std::string_view kConfigSnapshotObject = "config/snapshot";

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_CHANGE_H_
