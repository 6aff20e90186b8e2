// Detects syntax in an HTTP/1 message that parsers interpret differently, which
// would allow request smuggling.
#ifndef BRAMLEYBANK_SRC_HTTP1_MESSAGE_SCANNER_H_
#define BRAMLEYBANK_SRC_HTTP1_MESSAGE_SCANNER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bramleybank {

/// Which lines are accepted.
enum class Http1LineRules : uint8_t {
  /// Those of requests, as RFC 9112 defines them.
  kRequest,
  /// Those of responses. Fields may also have lines that end with a bare LF,
  /// folded lines, and white space before the colon, as RFC 9112 asks of those
  /// who forward responses. The start line has version 1 and a status of three
  /// digits from 100 to 599.
  kResponse,
};

/// Rejects start lines of other protocols, bare CR or LF, folded lines, white
/// space in a field name or before its colon, and control characters, in the
/// head, the trailer and the lines between chunks. libhttp-parser accepts such
/// messages, and the next hop may read a different message from them.
class Http1MessageScanner {
 public:
  explicit Http1MessageScanner(Http1LineRules rules) : m_rules(rules) {}

  /// Scans up to the end of the head, so that the parser can tell how the body
  /// is framed, or else all bytes. Bytes of a body are not interpreted.
  /// @returns the number of bytes that were scanned.
  size_t Scan(std::string_view bytes);
  /// The body that follows the scanned head is chunked.
  void StartChunks() { m_state = State::kChunkSizeStart; }
  /// Prepares for the head of the next message.
  void Reset() { *this = Http1MessageScanner(m_rules); }

  bool is_valid() const { return m_state != State::kInvalid; }

 private:
  enum class State : uint8_t {
    /// Skips empty lines before the start line.
    kBeforeStartLine,
    kStartLine,
    kLineStart,
    kName,
    /// White space after a field name.
    kAfterName,
    kValue,
    kChunkSizeStart,
    kChunkSize,
    /// White space after a chunk size.
    kAfterChunkSize,
    kChunkExtension,
    kChunkData,
    /// The line end after the data of a chunk.
    kChunkEnd,
    /// A body without chunks, or bytes after the message.
    kUnscanned,
    kInvalid,
  };

  void ConsumeByte(char byte);
  /// @returns how many of the available bytes belong to the current chunk.
  size_t SkipChunkData(size_t available);
  /// Handles a byte that is not part of a line end.
  State ConsumeText(char byte);
  State ConsumeStartLine(char byte);
  State ConsumeBlankInLine() const;
  State ConsumeChunkSizeDigit(char byte);
  State EndLine();
  bool AcceptsBareLineFeed() const;

  Http1LineRules m_rules;
  State m_state = State::kBeforeStartLine;
  // Bytes of a response's start line so far.
  size_t m_start_line_bytes = 0;
  // Whether the previous byte was a carriage return.
  bool m_after_cr = false;
  // Whether a field precedes the current line of a head or a trailer.
  bool m_has_field = false;
  // Size of the current chunk, then the bytes of it that are still to come.
  uint64_t m_chunk_bytes = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP1_MESSAGE_SCANNER_H_
