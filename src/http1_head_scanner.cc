// One step a byte.
#include "http1_head_scanner.h"

namespace bramleybank {

bool Http1HeadScanner::Scan(std::string_view bytes) {
  for (const char byte : bytes) {
    if (m_state == State::kDone || m_state == State::kUnsound) {
      break;
    }
    Take(byte);
  }
  return m_state != State::kUnsound;
}

void Http1HeadScanner::Take(char byte) {
  if (byte == '\n') {
    m_after_return ? EndLine() : void(m_state = State::kUnsound);
    m_after_return = false;
    return;
  }
  if (m_after_return) {
    m_state = State::kUnsound;
    return;
  }
  m_after_return = byte == '\r';
  if (m_after_return) {
    return;
  }
  const bool is_blank = byte == ' ' || byte == '\t';
  switch (m_state) {
    case State::kBefore:
      m_state = State::kRequestLine;
      break;
    case State::kLineStart:
      m_state = is_blank ? State::kUnsound : State::kName;
      break;
    case State::kName:
      if (is_blank) {
        m_state = State::kUnsound;
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
  } else if (m_state != State::kBefore) {
    m_state = State::kLineStart;
  }
}

}  // namespace bramleybank
