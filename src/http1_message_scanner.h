// Detects syntax in an HTTP/1 message that parsers interpret differently, which
// would allow request smuggling.
#ifndef BRAMLEYBANK_SRC_HTTP1_MESSAGE_SCANNER_H_
#define BRAMLEYBANK_SRC_HTTP1_MESSAGE_SCANNER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bramleybank {

/// Rejects bare CR or LF, folded lines, white space in a field name or before
/// its colon, and control characters, in the head, the trailer and the lines
/// between chunks. libhttp-parser accepts such messages, and an endpoint behind
/// this daemon may read a different request from them.
class Http1MessageScanner {
 public:
  /// Scans up to the end of the head, so that the parser can tell how the body
  /// is framed, or else all bytes. Bytes of a body are not interpreted.
  /// @returns the number of bytes that were scanned.
  size_t Scan(std::string_view bytes);
  /// The body that follows the scanned head is chunked.
  void StartChunks() { m_state = State::kChunkSizeStart; }
  /// Prepares for the head of the next message.
  void Reset() { *this = Http1MessageScanner(); }

  bool is_valid() const { return m_state != State::kInvalid; }

 private:
  enum class State : uint8_t {
    /// Skips empty lines before the start line.
    kBeforeStartLine,
    kStartLine,
    kLineStart,
    kName,
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
  State ConsumeChunkSizeDigit(char byte);
  State EndLine();

  State m_state = State::kBeforeStartLine;
  // Whether the previous byte was a carriage return.
  bool m_after_cr = false;
  // Size of the current chunk, then the bytes of it that are still to come.
  uint64_t m_chunk_bytes = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP1_MESSAGE_SCANNER_H_
