// What an endpoint has registered about itself in the metadata store.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_ENTRY_H_
#define BRAMLEYBANK_SRC_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <string>

#include "hooks.h"

namespace bramleybank {

/// Whether an endpoint takes new work.
enum class EndpointState : uint8_t { kReady, kDraining };

/// One registered endpoint.
struct EndpointEntry {
  /// Names one incarnation in most cases; see `start_time_ms`.
  std::string id;
  std::string service;
  /// ip:port.
  std::string address;
  std::string failure_domain;
  /// Version of the endpoint's software.
  std::string version;
  int slots = 0;
  EndpointState state = EndpointState::kReady;
  /// How much longer the endpoint is slow after its start.
  Duration warmup_remaining{0};
  /// Unix time of the start in milliseconds; 0 when not told. An endpoint that
  /// starts again under the same id has a new one.
  int64_t start_time_ms = 0;

  friend bool operator==(const EndpointEntry&, const EndpointEntry&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_ENTRY_H_
