// Parser of server-sent events as they arrive in parts.
#ifndef BRAMLEYBANK_SRC_HTTP_SSE_PARSER_H_
#define BRAMLEYBANK_SRC_HTTP_SSE_PARSER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace bramleybank {

/// One event; fields that were absent are empty.
struct SseEvent {
  std::string event;
  std::string id;
  std::string data;

  friend bool operator==(const SseEvent&, const SseEvent&) = default;
};

/// Splits a byte stream into events. An event that the stream's end cuts off
/// is not reported.
class SseParser {
 public:
  using EventCallback = std::function<void(const SseEvent&)>;

  /// @param max_event_bytes an event longer than this makes Feed() fail.
  SseParser(size_t max_event_bytes, EventCallback callback);

  /// @returns false when the input exceeds the limit; the rest is ignored.
  bool Feed(std::string_view bytes);

 private:
  void TakeLine(std::string_view line);
  void Dispatch();

  size_t m_max_event_bytes;
  EventCallback m_callback;
  std::string m_line;
  SseEvent m_event;
  bool m_has_data = false;
  // Bytes of the current event; reset when it is dispatched.
  size_t m_event_bytes = 0;
  bool m_failed = false;
};

/// @returns the wire form of an event, without `event:` when it is empty.
/// @param data must hold no line break.
std::string FormatSseEvent(std::string_view id,
                           std::string_view event,
                           std::string_view data);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_SSE_PARSER_H_
