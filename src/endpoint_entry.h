// Entry that an endpoint registers for itself in the metadata store.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_ENTRY_H_
#define BRAMLEYBANK_SRC_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <string>

#include "hooks.h"

namespace bramleybank {

/// Whether an endpoint accepts new requests.
enum class EndpointState : uint8_t { kReady, kDraining };

/// One registered endpoint.
struct EndpointEntry {
  /// Usually unique to one start of the endpoint; see `start_time_ms`.
  std::string id;
  std::string service;
  /// ip:port.
  std::string address;
  std::string failure_domain;
  /// Version of the endpoint's software.
  std::string version;
  int slots = 0;
  EndpointState state = EndpointState::kReady;
  /// Time left until the endpoint reaches its full speed after a start.
  Duration warmup_remaining{0};
  /// Unix time of the start in milliseconds; 0 if the endpoint does not report
  /// it. Changes when an endpoint restarts under the same id.
  int64_t start_time_ms = 0;

  friend bool operator==(const EndpointEntry&, const EndpointEntry&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_ENTRY_H_
