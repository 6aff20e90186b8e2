// The configuration that this daemon holds, and the last changes that led to
// it.
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

/// What a peer gets that asks for the configuration from a number on: the
/// changes after it, or the whole configuration when they are not kept.
struct ConfigAnswer {
  /// Highest number that the answering daemon has.
  uint64_t number = 0;
  std::vector<ConfigChange> changes;
  std::shared_ptr<const ConfigSnapshot> snapshot;
};

std::string FormatConfigAnswer(const ConfigAnswer& answer);
/// @param error set to the first fault when parsing fails.
std::optional<ConfigAnswer> ParseConfigAnswer(std::string_view json,
                                              Reason* error);

enum class ConfigApplyResult {
  kApplied,
  /// The number is not above the one held; nothing was done.
  kAlreadyApplied,
  /// Changes in between are missing.
  kGap,
  /// The change does not fit the configuration; nothing was done and
  /// last_reason() is set.
  kRefused,
};

/// Applies changes in the order of their numbers. A change costs the same
/// whatever the size of the configuration; Snapshot() copies it once per batch
/// of changes.
class ConfigLog {
 public:
  /// Takes a whole configuration.
  /// @returns false when its number is not above the one held.
  bool Load(ConfigSnapshot snapshot);

  ConfigApplyResult Apply(const ConfigChange& change);

  /// @returns why the change would be refused, whatever its number.
  std::optional<Reason> Validate(const ConfigChange& change) const;

  /// @returns the configuration as of now; it never changes afterwards.
  std::shared_ptr<const ConfigSnapshot> Snapshot();

  /// @param after the highest number that the asking daemon has; 0 when
  /// it has no configuration.
  ConfigAnswer AnswerAfter(uint64_t after);

  /// @returns the number of a kept change with this id.
  std::optional<uint64_t> FindChange(std::string_view id) const;

  /// Whether any configuration was loaded.
  bool has_config() const { return m_has_config; }
  uint64_t number() const { return m_current.number; }
  const Reason& last_reason() const { return m_last_reason; }

 private:
  using Index = std::unordered_map<std::string, size_t>;

  // Changes `m_current` only.
  void ApplyToCurrent(const ConfigChange& change);

  // The working copy; never handed out.
  ConfigSnapshot m_current;
  bool m_has_config = false;
  // Positions in the lists of m_current by name.
  Index m_endpoints;
  Index m_services;
  Index m_customers;
  // The last changes up to m_current.number, at most 1,000, without gaps.
  std::deque<ConfigChange> m_changes;
  // Copy of m_current, or nullptr after a change.
  std::shared_ptr<const ConfigSnapshot> m_snapshot;
  Reason m_last_reason;
};

inline constexpr size_t kMaxKeptConfigChanges = 1000;

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_LOG_H_
