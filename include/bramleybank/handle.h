// Typed handles: small integers that cannot be confused with each other.
#ifndef BRAMLEYBANK_HANDLE_H_
#define BRAMLEYBANK_HANDLE_H_

#include <compare>
#include <cstdint>

namespace bramleybank {

/// Handle to an object owned elsewhere. The value 0 is invalid.
/// @tparam Tag distinguishes the kinds of handle at compile time.
template <typename Tag>
class Handle {
 public:
  constexpr Handle() = default;
  constexpr explicit Handle(uint64_t value) : m_value(value) {}

  constexpr bool is_valid() const { return m_value != 0; }
  constexpr uint64_t value() const { return m_value; }

  friend constexpr auto operator<=>(const Handle&, const Handle&) = default;

 private:
  uint64_t m_value = 0;
};

struct TimerTag;
struct TransferTag;

using TimerHandle = Handle<TimerTag>;
using TransferHandle = Handle<TransferTag>;

}  // namespace bramleybank

#endif  // BRAMLEYBANK_HANDLE_H_
