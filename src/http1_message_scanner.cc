// State machine that is advanced one byte at a time, except in the data of a
// chunk.
#include "http1_message_scanner.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

#include "http1_status.h"

namespace bramleybank {
namespace {

constexpr int kChunkSizeBase = 16;
constexpr uint64_t kMaxChunkBytes = std::numeric_limits<int64_t>::max();

bool IsBlank(char byte) {
  return byte == ' ' || byte == '\t';
}

bool IsControl(char byte) {
  return byte != '\t' && std::iscntrl(static_cast<unsigned char>(byte)) != 0;
}

}  // namespace

size_t Http1MessageScanner::Scan(std::string_view bytes) {
  size_t at = 0;
  while (at < bytes.size() && is_valid()) {
    if (m_state == State::kUnscanned) {
      return bytes.size();
    }
    if (m_state == State::kChunkData) {
      at += SkipChunkData(bytes.size() - at);
      continue;
    }
    ConsumeByte(bytes[at]);
    ++at;
    if (m_state == State::kUnscanned) {
      return at;
    }
  }
  return at;
}

size_t Http1MessageScanner::SkipChunkData(size_t available) {
  const auto skipped =
      static_cast<size_t>(std::min<uint64_t>(m_chunk_bytes, available));
  m_chunk_bytes -= skipped;
  if (m_chunk_bytes == 0) {
    m_state = State::kChunkEnd;
  }
  return skipped;
}

void Http1MessageScanner::ConsumeByte(char byte) {
  const bool ends_line = byte == '\n' && (m_after_cr || AcceptsBareLineFeed());
  if (!ends_line && (m_after_cr || byte == '\n')) {
    m_state = State::kInvalid;
    return;
  }
  m_after_cr = byte == '\r';
  if (ends_line) {
    m_state = EndLine();
  } else if (!m_after_cr) {
    m_state = IsControl(byte) ? State::kInvalid : ConsumeText(byte);
  }
}

bool Http1MessageScanner::AcceptsBareLineFeed() const {
  return m_rules == Http1LineRules::kResponse &&
         (m_state == State::kBeforeStartLine || m_state == State::kStartLine ||
          m_state == State::kLineStart || m_state == State::kValue);
}

Http1MessageScanner::State Http1MessageScanner::ConsumeText(char byte) {
  switch (m_state) {
    case State::kBeforeStartLine:
    case State::kStartLine:
      return ConsumeStartLine(byte);
    case State::kLineStart:
    case State::kName:
    case State::kAfterName:
      if (IsBlank(byte)) {
        return ConsumeBlankInLine();
      }
      if (byte == ':') {
        m_has_field = true;
        return State::kValue;
      }
      return m_state == State::kAfterName ? State::kInvalid : State::kName;
    case State::kChunkSizeStart:
      m_chunk_bytes = 0;
      return ConsumeChunkSizeDigit(byte);
    case State::kChunkSize:
    case State::kAfterChunkSize:
      if (byte == ';') {
        return State::kChunkExtension;
      }
      if (IsBlank(byte)) {
        return State::kAfterChunkSize;
      }
      return m_state == State::kChunkSize ? ConsumeChunkSizeDigit(byte)
                                          : State::kInvalid;
    case State::kValue:
    case State::kChunkExtension:
      return m_state;
    default:
      return State::kInvalid;
  }
}

Http1MessageScanner::State Http1MessageScanner::ConsumeStartLine(char byte) {
  if (m_rules == Http1LineRules::kRequest) {
    return byte == '\t' ? State::kInvalid : State::kStartLine;
  }
  return MayStandInStatusLine(byte, m_start_line_bytes++) ? State::kStartLine
                                                          : State::kInvalid;
}

Http1MessageScanner::State Http1MessageScanner::ConsumeBlankInLine() const {
  if (m_rules == Http1LineRules::kRequest) {
    return State::kInvalid;
  }
  if (m_state == State::kLineStart) {
    return m_has_field ? State::kValue : State::kInvalid;
  }
  return State::kAfterName;
}

Http1MessageScanner::State Http1MessageScanner::ConsumeChunkSizeDigit(
    char byte) {
  uint64_t digit = 0;
  const auto [end, error] =
      std::from_chars(&byte, &byte + 1, digit, kChunkSizeBase);
  if (error != std::errc() ||
      m_chunk_bytes > (kMaxChunkBytes - digit) / kChunkSizeBase) {
    return State::kInvalid;
  }
  m_chunk_bytes = m_chunk_bytes * kChunkSizeBase + digit;
  return State::kChunkSize;
}

Http1MessageScanner::State Http1MessageScanner::EndLine() {
  switch (m_state) {
    case State::kBeforeStartLine:
      return m_state;
    case State::kStartLine:
      return m_rules == Http1LineRules::kResponse &&
                     m_start_line_bytes < kMinStatusLineBytes
                 ? State::kInvalid
                 : State::kLineStart;
    case State::kValue:
      return State::kLineStart;
    case State::kLineStart:
      return State::kUnscanned;
    case State::kChunkSize:
    case State::kAfterChunkSize:
    case State::kChunkExtension:
      // The trailer follows the chunk of size 0.
      m_has_field = false;
      return m_chunk_bytes == 0 ? State::kLineStart : State::kChunkData;
    case State::kChunkEnd:
      return State::kChunkSizeStart;
    default:
      return State::kInvalid;
  }
}

}  // namespace bramleybank
