// State machine that is advanced one byte at a time.
#include "http1_head_scanner.h"

namespace bramleybank {

bool Http1HeadScanner::Scan(std::string_view bytes) {
  for (const char byte : bytes) {
    if (m_state == State::kDone || m_state == State::kInvalid) {
      break;
    }
    ConsumeByte(byte);
  }
  return m_state != State::kInvalid;
}

void Http1HeadScanner::ConsumeByte(char byte) {
  if (byte == '\n') {
    m_after_cr ? EndLine() : void(m_state = State::kInvalid);
    m_after_cr = false;
    return;
  }
  if (m_after_cr) {
    m_state = State::kInvalid;
    return;
  }
  m_after_cr = byte == '\r';
  if (m_after_cr) {
    return;
  }
  const bool is_blank = byte == ' ' || byte == '\t';
  switch (m_state) {
    case State::kBeforeRequestLine:
      m_state = State::kRequestLine;
      break;
    case State::kLineStart:
      m_state = is_blank ? State::kInvalid : State::kName;
      break;
    case State::kName:
      if (is_blank) {
        m_state = State::kInvalid;
      } else if (byte == ':') {
        m_state = State::kValue;
      }
      break;
    default:
      break;
  }
}

void Http1HeadScanner::EndLine() {
  if (m_state == State::kLineStart) {
    m_state = State::kDone;
  } else if (m_state != State::kBeforeRequestLine) {
    m_state = State::kLineStart;
  }
}

}  // namespace bramleybank
