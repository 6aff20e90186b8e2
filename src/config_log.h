// The configuration that this daemon holds, and the most recent changes that
// were applied to it.
#ifndef BRAMLEYBANK_SRC_CONFIG_LOG_H_
#define BRAMLEYBANK_SRC_CONFIG_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bramleybank/result_code.h"
#include "config_change.h"
#include "config_snapshot.h"

namespace bramleybank {

/// Answer to a peer that asks for the configuration after a given number: the
/// later changes, or the whole configuration when they are no longer kept.
struct ConfigAnswer {
  /// Highest number that the answering daemon has.
  uint64_t number = 0;
  std::vector<ConfigChange> changes;
  std::shared_ptr<const ConfigSnapshot> snapshot;
};

std::string FormatConfigAnswer(const ConfigAnswer& answer);
/// @param error set to the first error when parsing fails.
std::optional<ConfigAnswer> ParseConfigAnswer(std::string_view json,
                                              Reason* error);

enum class ConfigApplyResult {
  kApplied,
  /// The number is not higher than the current one; nothing was done.
  kAlreadyApplied,
  /// Changes between the current number and this one are missing, or no
  /// configuration is loaded; nothing was done.
  kGap,
  /// The change is invalid for the current configuration; nothing was done and
  /// last_reason() is set.
  kRefused,
};

/// Applies changes in the order of their numbers. The cost of a change does not
/// depend on the size of the configuration; Snapshot() copies the configuration
/// once per batch of changes.
class ConfigLog {
 public:
  /// Replaces the configuration and discards the kept changes.
  /// @returns false when the number of `snapshot` is not higher than the
  /// current one; nothing was done and last_reason() is set.
  bool Load(ConfigSnapshot snapshot);

  ConfigApplyResult Apply(const ConfigChange& change);

  /// Validates a change against the configuration, regardless of its number.
  /// @returns the reason to refuse it, or nullopt for a valid change.
  std::optional<Reason> Validate(const ConfigChange& change) const;

  /// @returns an immutable copy of the current configuration.
  std::shared_ptr<const ConfigSnapshot> Snapshot();

  /// @param after the highest number that the requesting daemon has; 0 when it
  /// has no configuration.
  ConfigAnswer AnswerAfter(uint64_t after);

  /// @returns the number of a kept change with this id.
  std::optional<uint64_t> FindChange(std::string_view id) const;

  /// Whether any configuration was loaded.
  bool has_config() const { return m_has_config; }
  uint64_t number() const { return m_current.number; }
  const Reason& last_reason() const { return m_last_reason; }

 private:
  using Index = std::unordered_map<std::string, size_t>;

  // Changes only `m_current` and the indexes below; the change must be valid.
  void ApplyToCurrent(const ConfigChange& change);

  // The mutable working copy; Snapshot() returns copies of it.
  ConfigSnapshot m_current;
  bool m_has_config = false;
  // Positions in the lists of m_current, by name.
  Index m_endpoints;
  Index m_services;
  Index m_customers;
  // The last changes up to m_current.number, without gaps; at most
  // kMaxKeptConfigChanges.
  std::deque<ConfigChange> m_changes;
  // Cached copy of m_current; nullptr after a change.
  std::shared_ptr<const ConfigSnapshot> m_snapshot;
  Reason m_last_reason;
};

inline constexpr size_t kMaxKeptConfigChanges = 1000;

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_LOG_H_
