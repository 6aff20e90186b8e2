// Drill for tests with real gateways: their store loses a configuration and
// comes back from an older copy.
#ifndef BRAMLEYBANK_TESTS_RESTORED_STORE_H_
#define BRAMLEYBANK_TESTS_RESTORED_STORE_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace bramleybank::testing {

class WireDeployment;

// The users' bounds: a change is in force this long after its acknowledgement,
// and a gateway is in touch this long after an outage of the store.
inline constexpr std::chrono::milliseconds kApplyBound{2500};
inline constexpr std::chrono::milliseconds kContactTime{4000};

struct RestoreCase {
  std::string name;
  int domains = 3;
  int gateways_per_domain = 1;
  int restores = 1;
  /// Whether the store counts past the lost versions before it is back, after
  /// the next configuration was written.
  bool is_passed = false;
  bool kills_relays = false;
  /// Controls of the store before its loss and with its return.
  nlohmann::json before = nlohmann::json::object();
  nlohmann::json with_return = nlohmann::json::object();
  /// From the acknowledgement of the next configuration.
  std::chrono::milliseconds bound = kApplyBound;
};

/// Starts a deployment, brings its store back from an older copy as often as
/// the case says, and checks which configuration each gateway follows.
void PlayRestores(const RestoreCase& play);

/// The same at a running deployment, once.
/// @param config the one in force.
void PlayRestore(WireDeployment& site,
                 const RestoreCase& play,
                 uint64_t config);

/// Publishes a configuration and checks that all gateways take it up.
void PublishAndCheck(WireDeployment& site, uint64_t config);

/// Waits until all gateways know each other.
void WaitForMembers(const WireDeployment& site);

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_RESTORED_STORE_H_
