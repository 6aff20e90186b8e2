// Server-sent events, following the "event stream" format of the HTML standard.
#include "http_sse_parser.h"

#include <utility>

namespace bramleybank {

SseParser::SseParser(size_t max_event_bytes, EventCallback callback)
    : m_max_event_bytes(max_event_bytes), m_callback(std::move(callback)) {}

bool SseParser::Feed(std::string_view bytes) {
  while (!bytes.empty() && !m_failed) {
    const size_t end = bytes.find('\n');
    const std::string_view part = bytes.substr(0, end);
    m_event_bytes += part.size();
    if (m_event_bytes > m_max_event_bytes) {
      m_failed = true;
      break;
    }
    if (end == std::string_view::npos) {
      m_line.append(part);
      break;
    }
    bytes.remove_prefix(end + 1);
    if (m_line.empty()) {
      ProcessLine(part);
    } else {
      m_line.append(part);
      const std::string line = std::exchange(m_line, {});
      ProcessLine(line);
    }
  }
  return !m_failed;
}

void SseParser::ProcessLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    Dispatch();
    return;
  }
  const size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value;
  if (colon != std::string_view::npos) {
    value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
  }
  if (field == "data") {
    if (m_has_data) {
      m_event.data += '\n';
    }
    m_event.data += value;
    m_has_data = true;
  } else if (field == "id") {
    m_event.id = value;
  } else if (field == "event") {
    m_event.event = value;
  }
}

void SseParser::Dispatch() {
  m_event_bytes = 0;
  const SseEvent event = std::exchange(m_event, {});
  if (std::exchange(m_has_data, false)) {
    m_callback(event);
  }
}

std::string FormatSseEvent(std::string_view id,
                           std::string_view event,
                           std::string_view data) {
  std::string out;
  out.reserve(id.size() + event.size() + data.size() + 24);
  if (!id.empty()) {
    out.append("id: ").append(id).append("\n");
  }
  if (!event.empty()) {
    out.append("event: ").append(event).append("\n");
  }
  out.append("data: ").append(data).append("\n\n");
  return out;
}

}  // namespace bramleybank
