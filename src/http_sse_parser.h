// Incremental parser for server-sent events.
#ifndef BRAMLEYBANK_SRC_HTTP_SSE_PARSER_H_
#define BRAMLEYBANK_SRC_HTTP_SSE_PARSER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace bramleybank {

/// One event. Absent fields are empty.
struct SseEvent {
  std::string event;
  std::string id;
  std::string data;

  friend bool operator==(const SseEvent&, const SseEvent&) = default;
};

/// Splits a byte stream into events. An event that is incomplete at the end of
/// the stream is not reported.
class SseParser {
 public:
  using EventCallback = std::function<void(const SseEvent&)>;

  /// @param max_event_bytes maximum size of an event; Feed() fails on a larger
  /// one.
  SseParser(size_t max_event_bytes, EventCallback callback);

  /// @returns false if an event has exceeded the limit. All further input is
  /// ignored.
  bool Feed(std::string_view bytes);

 private:
  void ProcessLine(std::string_view line);
  void Dispatch();

  size_t m_max_event_bytes;
  EventCallback m_callback;
  std::string m_line;
  SseEvent m_event;
  bool m_has_data = false;
  // Size of the current event; reset when it is dispatched.
  size_t m_event_bytes = 0;
  bool m_failed = false;
};

/// @returns the wire format of an event. The `id:` or `event:` line is left out
/// if its value is empty.
/// @param data must not contain line breaks.
std::string FormatSseEvent(std::string_view id,
                           std::string_view event,
                           std::string_view data);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_SSE_PARSER_H_
