// Splits a stream of server-sent events into complete events without changing
// their bytes.
#ifndef BRAMLEYBANK_SRC_EVENT_SPLITTER_H_
#define BRAMLEYBANK_SRC_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleybank {

class MemoryBudget;

/// One complete event.
struct RawEvent {
  /// The event as sent, including the empty line that ends it.
  std::string_view bytes;
  /// Value of the id field; empty if it is missing or not a number.
  std::optional<uint64_t> id;
  /// Whether it has more than comments and empty lines.
  bool has_content = false;
};

/// Buffers received bytes until events are complete. The budget limits the
/// memory of all unfinished events.
class EventSplitter {
 public:
  /// @param budget outlives this object.
  explicit EventSplitter(MemoryBudget* budget) : m_budget(budget) {}
  ~EventSplitter();
  EventSplitter(const EventSplitter&) = delete;
  EventSplitter& operator=(const EventSplitter&) = delete;

  /// @returns false, without having taken the bytes, when they would exceed the
  /// budget.
  bool Feed(std::string_view bytes);
  /// @returns the next complete event, valid until the next call of any method.
  std::optional<RawEvent> Next();
  /// Number of buffered bytes of an incomplete event.
  size_t pending_bytes() const { return m_buffer.size() - m_start; }

 private:
  /// Moves the unfinished event to a buffer of this capacity.
  bool Resize(size_t capacity);

  MemoryBudget* m_budget;
  // Invariant: its capacity, as far as it was asked for, is reserved.
  std::string m_buffer;
  size_t m_reserved = 0;
  // Events before this offset have been returned.
  size_t m_start = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_EVENT_SPLITTER_H_
