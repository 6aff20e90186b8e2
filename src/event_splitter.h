// Splits a stream of server-sent events into whole events, kept as sent.
#ifndef BRAMLEYBANK_SRC_EVENT_SPLITTER_H_
#define BRAMLEYBANK_SRC_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleybank {

/// One whole event.
struct RawEvent {
  /// The event as sent, its closing empty line included.
  std::string_view bytes;
  /// Value of its id field; nothing when there is none or it is not a number.
  std::optional<uint64_t> id;
};

/// Collects bytes until events are whole.
class EventSplitter {
 public:
  void Feed(std::string_view bytes);
  /// @returns the next whole event, valid until the next call of any method.
  std::optional<RawEvent> Next();
  /// Bytes of an event that is not whole.
  size_t pending_bytes() const { return m_buffer.size() - m_start; }

 private:
  std::string m_buffer;
  // Events before this offset have been returned.
  size_t m_start = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_EVENT_SPLITTER_H_
