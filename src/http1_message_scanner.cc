// State machine that is advanced one byte at a time, except in the data of a
// chunk.
#include "http1_message_scanner.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

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
  const bool ends_line = m_after_cr && byte == '\n';
  if (m_after_cr != ends_line) {
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

Http1MessageScanner::State Http1MessageScanner::ConsumeText(char byte) {
  switch (m_state) {
    case State::kBeforeStartLine:
    case State::kStartLine:
      return byte == '\t' ? State::kInvalid : State::kStartLine;
    case State::kLineStart:
    case State::kName:
      if (IsBlank(byte)) {
        return State::kInvalid;
      }
      return byte == ':' ? State::kValue : State::kName;
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
    case State::kValue:
      return State::kLineStart;
    case State::kLineStart:
      return State::kUnscanned;
    case State::kChunkSize:
    case State::kAfterChunkSize:
    case State::kChunkExtension:
      // The trailer follows the chunk of size 0.
      return m_chunk_bytes == 0 ? State::kLineStart : State::kChunkData;
    case State::kChunkEnd:
      return State::kChunkSizeStart;
    default:
      return State::kInvalid;
  }
}

}  // namespace bramleybank
