// Detects syntax in the head of an HTTP/1 request that parsers interpret
// differently, which would allow request smuggling.
#ifndef BRAMLEYBANK_SRC_HTTP1_HEAD_SCANNER_H_
#define BRAMLEYBANK_SRC_HTTP1_HEAD_SCANNER_H_

#include <cstdint>
#include <string_view>

namespace bramleybank {

/// Rejects heads with bare CR or LF, folded header lines, or white space in a
/// header name, including before its colon. libhttp-parser accepts such heads,
/// and an endpoint behind this daemon may read a different request from them.
class Http1HeadScanner {
 public:
  /// Scans the next bytes of the message. Bytes after the head are ignored.
  /// @returns whether the head is valid so far.
  bool Scan(std::string_view bytes);
  /// Prepares for the head of the next message.
  void Reset() { *this = Http1HeadScanner(); }

 private:
  enum class State : uint8_t {
    /// Skips empty lines before the request line.
    kBeforeRequestLine,
    kRequestLine,
    kLineStart,
    kName,
    kValue,
    kDone,
    kInvalid,
  };

  void ConsumeByte(char byte);
  void EndLine();

  State m_state = State::kBeforeRequestLine;
  // Whether the previous byte was a carriage return.
  bool m_after_cr = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP1_HEAD_SCANNER_H_
