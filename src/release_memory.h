// Frees the memory of strings and of values that hold them.
#ifndef BRAMLEYBANK_SRC_RELEASE_MEMORY_H_
#define BRAMLEYBANK_SRC_RELEASE_MEMORY_H_

#include <utility>

namespace bramleybank {

/// Sets a value to its default and frees its buffers. Assigning a default value
/// would keep the buffers of strings.
template <typename T>
void ReleaseMemory(T* value) {
  T empty{};
  std::swap(*value, empty);
}

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_RELEASE_MEMORY_H_
