// Version of the metadata store's rows.
#ifndef BRAMLEYBANK_SRC_STORE_VERSION_H_
#define BRAMLEYBANK_SRC_STORE_VERSION_H_

#include <compare>
#include <cstdint>

namespace bramleybank {

/// Version of a row, or of the store as a whole. Its number grows with every
/// transaction of one era. When the store is restored from an older copy, a new
/// era begins: numbers go back and are assigned again, so they can be compared
/// within one era only.
struct StoreVersion {
  constexpr StoreVersion() = default;
  /// A store that states no era is in era 0.
  constexpr StoreVersion(uint64_t version_number, uint64_t version_era = 0)
      : era(version_era), number(version_number) {}

  /// Rises by one each time the store is restored from an older copy.
  uint64_t era = 0;
  uint64_t number = 0;

  friend constexpr bool operator==(const StoreVersion&,
                                   const StoreVersion&) = default;
  /// Orders by era first.
  friend constexpr std::strong_ordering operator<=>(const StoreVersion& a,
                                                    const StoreVersion& b) {
    return a.era != b.era ? a.era <=> b.era : a.number <=> b.number;
  }
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STORE_VERSION_H_
