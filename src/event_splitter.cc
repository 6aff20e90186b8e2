// An event ends with an empty line; lines end with LF or CR LF.
#include "event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "bramleybank/limits.h"
#include "memory_budget.h"

namespace bramleybank {
namespace {

constexpr std::string_view kIdField = "id:";

std::optional<uint64_t> ParseId(std::string_view value) {
  while (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  while (value.ends_with('\r')) {
    value.remove_suffix(1);
  }
  uint64_t id = 0;
  const char* end = value.data() + value.size();
  const auto [parsed_to, error] = std::from_chars(value.data(), end, id);
  if (error != std::errc() || parsed_to != end) {
    return std::nullopt;
  }
  return id;
}

}  // namespace

EventSplitter::~EventSplitter() {
  m_budget->ReleaseAnswer(m_reserved);
}

bool EventSplitter::Feed(std::string_view bytes) {
  const size_t needed = pending_bytes() + bytes.size();
  if (needed > m_reserved) {
    const size_t doubled = std::min(2 * m_reserved, kMaxEventBytes);
    if (!Resize(std::max({needed, doubled, kEventBufferBytes}))) {
      return false;
    }
  }
  m_buffer.erase(0, m_start);
  m_start = 0;
  m_buffer.append(bytes);
  return true;
}

bool EventSplitter::Resize(size_t capacity) {
  // Both buffers exist for a moment.
  if (!m_budget->ReserveAnswer(capacity, capacity)) {
    return false;
  }
  std::string buffer;
  buffer.reserve(capacity);
  buffer.append(m_buffer, m_start);
  m_buffer = std::move(buffer);
  m_start = 0;
  m_budget->ReleaseAnswer(std::exchange(m_reserved, capacity));
  return true;
}

std::optional<RawEvent> EventSplitter::Next() {
  RawEvent event;
  size_t line_start = m_start;
  for (size_t line_end = m_buffer.find('\n', line_start);
       line_end != std::string::npos;
       line_end = m_buffer.find('\n', line_start)) {
    const std::string_view line(m_buffer.data() + line_start,
                                line_end - line_start);
    line_start = line_end + 1;
    if (line.empty() || line == "\r") {
      event.bytes =
          std::string_view(m_buffer).substr(m_start, line_start - m_start);
      m_start = line_start;
      return event;
    }
    event.has_content = event.has_content || !line.starts_with(':');
    if (line.starts_with(kIdField)) {
      event.id = ParseId(line.substr(kIdField.size()));
    }
  }
  // The events of one read may take far more than the rest of the last one.
  if (m_reserved > kEventBufferBytes && pending_bytes() <= kEventBufferBytes) {
    Resize(kEventBufferBytes);
  }
  return std::nullopt;
}

}  // namespace bramleybank
