// Which versions of a service a request may go to.
#ifndef BRAMLEYBANK_SRC_ROLLOUT_RULE_H_
#define BRAMLEYBANK_SRC_ROLLOUT_RULE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace bramleybank {

/// Limits the endpoints of one attempt by their version.
struct RolloutRule {
  enum class Kind : uint8_t {
    kAnyVersion,
    /// Every version but `version`, even if that leaves no usable endpoint.
    /// Only a service whose endpoints all have `version` is exempt; see
    /// EndpointPicker.
    kAllBut,
    /// `version`, or another one if none of its endpoints can be used.
    kPreferred,
  };

  Kind kind = Kind::kAnyVersion;
  std::string version;
  /// Fraction of the preferred endpoints that is used. A small share of the
  /// requests goes to an equally small share of the endpoints, so that these
  /// show how the version behaves under load.
  double endpoint_share = 1;

  bool Allows(std::string_view other) const {
    return kind == Kind::kAnyVersion ||
           (kind == Kind::kPreferred) == (other == version);
  }
  friend bool operator==(const RolloutRule&, const RolloutRule&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROLLOUT_RULE_H_
