// One numbered change of the configuration.
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

/// What a change is about. An action that needs only the name leaves the
/// other fields at their defaults.
using ConfigSubject =
    std::variant<EndpointConfig, ServiceConfig, CustomerConfig>;

/// A change as it stands in the log.
struct ConfigChange {
  /// Place in the log; 0 until the change is accepted.
  uint64_t number = 0;
  /// Chosen by the operator's tool, so that a repeated request is recognised.
  std::string id;
  ConfigAction action = ConfigAction::kAdd;
  ConfigSubject subject;

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

/// Reads `{"number":n,"id":"...","action":"add"|"replace"|"remove"|
/// "mark_leaving","endpoint"|"service"|"customer":{...}}` with the fields of
/// the snapshot. Fields that this release does not know are ignored.
/// @param error set to the first fault when the change is refused.
std::optional<ConfigChange> ParseConfigChange(std::string_view json,
                                              Reason* error);
std::string FormatConfigChange(const ConfigChange& change);

/// @returns address of an endpoint, name of a service or customer.
const std::string& ConfigSubjectName(const ConfigSubject& subject);

/// Checks what can be checked without a configuration: id, names, addresses,
/// and whether the action fits the subject.
/// @returns the first fault.
std::optional<Reason> CheckConfigChange(const ConfigChange& change);

/// @returns the row of the log that holds the change of that number.
std::string ConfigLogKey(uint64_t number);

/// @returns the number in a row's key.
std::optional<uint64_t> ParseConfigLogKey(std::string_view key);

inline constexpr std::string_view kConfigLogPrefix = "config/log/";
inline constexpr std::string_view kConfigSnapshotObject = "config/snapshot";

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_CHANGE_H_
