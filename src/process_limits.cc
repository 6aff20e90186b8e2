// Reads /proc, the control groups and the limit on descriptors.
#include "process_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

namespace bramleybank {
namespace {

constexpr size_t kBytesPerKb = 1024;
constexpr size_t kMinBudgetBytes = 16 * 1024 * 1024;
// A quarter of the memory. The rest is for the process itself, for objects that
// the budget does not count, and for what the heap keeps.
constexpr size_t kBudgetDivisor = 4;
// Descriptors for endpoints, the store and other gateways.
constexpr size_t kReservedDivisor = 4;
// The usual limit, for systems that do not tell theirs.
constexpr size_t kDefaultDescriptors = 1024;
constexpr size_t kPeerDivisor = 16;
constexpr size_t kMinPeers = 16;
constexpr size_t kMaxPeers = 1024;
constexpr size_t kOperatorDivisor = 32;
constexpr size_t kMinOperators = 8;
constexpr size_t kMaxOperators = 128;
constexpr size_t kUnknown = std::numeric_limits<size_t>::max();

size_t VmMemory() {
  std::ifstream info("/proc/meminfo");
  std::string word;
  size_t kilobytes = 0;
  while (info >> word) {
    if (word == "MemTotal:" && info >> kilobytes) {
      return kilobytes * kBytesPerKb;
    }
  }
  return kUnknown;
}

/// @returns the smallest limit of the control group at `path` and its parents.
/// A file that is missing or says "max" sets none.
size_t GroupMemory(std::string path) {
  size_t limit = kUnknown;
  while (true) {
    std::ifstream file("/sys/fs/cgroup" + path + "/memory.max");
    size_t bytes = 0;
    if (file >> bytes) {
      limit = std::min(limit, bytes);
    }
    const size_t slash = path.rfind('/');
    if (slash == std::string::npos) {
      return limit;
    }
    path.erase(slash);
  }
}

size_t ControlGroupMemory() {
  // Version 2 has one line, "0::<path>".
  std::ifstream groups("/proc/self/cgroup");
  std::string line;
  while (std::getline(groups, line)) {
    if (line.starts_with("0::")) {
      return GroupMemory(line.substr(3));
    }
  }
  return kUnknown;
}

}  // namespace

ProcessResources ReadProcessResources() {
  rlimit limit{};
  const bool is_known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return {.memory_bytes = std::min(VmMemory(), ControlGroupMemory()),
          .descriptors = is_known ? static_cast<size_t>(limit.rlim_cur)
                                  : kDefaultDescriptors};
}

MemorySettings ResolveLimits(MemorySettings settings,
                             const ProcessResources& resources) {
  const size_t files = resources.descriptors;
  if (settings.budget_bytes == 0) {
    settings.budget_bytes =
        std::max(resources.memory_bytes / kBudgetDivisor, kMinBudgetBytes);
  }
  if (settings.reserved_descriptors == 0) {
    settings.reserved_descriptors = files / kReservedDivisor;
  }
  if (settings.max_callers == 0) {
    settings.max_callers = std::max<size_t>(
        1, files - std::min(files, settings.reserved_descriptors));
  }
  if (settings.max_peer_connections == 0) {
    settings.max_peer_connections =
        std::clamp(files / kPeerDivisor, kMinPeers, kMaxPeers);
  }
  if (settings.max_operator_connections == 0) {
    settings.max_operator_connections =
        std::clamp(files / kOperatorDivisor, kMinOperators, kMaxOperators);
  }
  return settings;
}

}  // namespace bramleybank
