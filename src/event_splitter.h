// Splits a stream of server-sent events into complete events without changing
// their bytes.
#ifndef BRAMLEYBANK_SRC_EVENT_SPLITTER_H_
#define BRAMLEYBANK_SRC_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleybank {

/// One complete event.
struct RawEvent {
  /// The event as sent, including the empty line that ends it.
  std::string_view bytes;
  /// Value of the id field; empty if it is missing or not a number.
  std::optional<uint64_t> id;
  /// Whether it has more than comments and empty lines.
  bool has_content = false;
};

/// Buffers received bytes until events are complete.
class EventSplitter {
 public:
  void Feed(std::string_view bytes);
  /// @returns the next complete event, valid until the next call of any method.
  std::optional<RawEvent> Next();
  /// Number of buffered bytes of an incomplete event.
  size_t pending_bytes() const { return m_buffer.size() - m_start; }

 private:
  std::string m_buffer;
  // Events before this offset have been returned.
  size_t m_start = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_EVENT_SPLITTER_H_
