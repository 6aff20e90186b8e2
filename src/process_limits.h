// What the VM gives to this process, and the limits derived from it.
#ifndef BRAMLEYBANK_SRC_PROCESS_LIMITS_H_
#define BRAMLEYBANK_SRC_PROCESS_LIMITS_H_

#include <cstddef>

#include "gateway_settings.h"

namespace bramleybank {

/// Resources of the VM or of the control group of this process.
struct ProcessResources {
  size_t memory_bytes = 0;
  size_t descriptors = 0;

  friend bool operator==(const ProcessResources&,
                         const ProcessResources&) = default;
};

/// Reads the smallest limit on memory: that of the VM and of the control groups
/// of this process; and its limit on file descriptors.
ProcessResources ReadProcessResources();

/// @returns the settings with each 0 replaced by the value derived from
/// `resources`.
MemorySettings ResolveLimits(MemorySettings settings,
                             const ProcessResources& resources);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PROCESS_LIMITS_H_
