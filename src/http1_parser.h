// Incremental parser of HTTP/1.1 requests and responses, built on
// libhttp-parser.
#ifndef BRAMLEYBANK_SRC_HTTP1_PARSER_H_
#define BRAMLEYBANK_SRC_HTTP1_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http1_message_scanner.h"
#include "http_types.h"

namespace bramleybank {

/// Start line and headers of one message.
struct Http1Head {
  /// Requests only.
  std::string method;
  /// Requests only: path and query, not decoded.
  std::string target;
  /// Responses only.
  int status = 0;
  HttpHeaders headers;
  /// Whether the sender keeps the connection open after this message.
  bool keep_alive = false;

  friend bool operator==(const Http1Head&, const Http1Head&) = default;
};

/// Reason why a message is rejected.
enum class Http1ParseError : uint8_t {
  kNone,
  kMalformed,
  /// The length is given twice, or in a form that two parsers may interpret
  /// differently. Such a request could smuggle in a second one.
  kAmbiguousLength,
  kHeadTooLarge,
};

/// Parses the messages of one connection one after the other. The fields of a
/// trailer are counted as part of the head and dropped.
class Http1Parser {
 public:
  enum class Direction : uint8_t { kRequests, kResponses };

  struct Callbacks {
    /// Interim responses (1xx) are skipped.
    std::function<void(Http1Head head)> on_head;
    std::function<void(std::string_view data)> on_body;
    /// The message is complete. Bytes after it are buffered until Resume().
    std::function<void()> on_complete;
  };

  Http1Parser(Direction direction, size_t max_head_bytes, Callbacks callbacks);
  ~Http1Parser();
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  /// Parses up to the end of the current message and buffers the rest.
  void Feed(std::string_view bytes);
  /// Starts the next message, with the bytes buffered after the previous one.
  void Resume();
  /// Handles an orderly close by the peer, which completes a response that has
  /// no length.
  void FeedEof();
  /// Releases the memory of the buffers of the current message. The caller must
  /// not pass on what is parsed afterwards.
  void Discard();

  /// Takes effect at once; to be called between messages.
  void set_max_head_bytes(size_t bytes) { m_max_head_bytes = bytes; }

  /// The next final response answers a HEAD request, so it has no body.
  void ExpectNoBody() { m_expects_no_body = true; }

  Http1ParseError error() const { return m_error; }
  /// Whether a message has been read in part.
  bool is_inside_message() const { return m_in_message; }
  size_t unparsed_bytes() const { return m_unparsed.size(); }
  std::string_view unparsed() const { return m_unparsed; }
  /// Memory for the bytes and the head that are being read.
  size_t held_bytes() const {
    return m_unparsed.capacity() + m_head_bytes +
           m_message.head.headers.capacity() * sizeof(HttpHeaders::value_type);
  }

 private:
  struct HttpParserAdapter;
  friend struct HttpParserAdapter;

  /// What is known of one message, interim responses included.
  struct Message {
    Http1Head head;
    std::string field;
    std::string value;
    bool in_value = false;
    bool in_trailer = false;
    bool is_interim = false;
  };

  void Parse(std::string_view bytes);
  /// Checks the lines of the next part of a message.
  /// @returns the number of bytes to parse next.
  size_t ScanNext(std::string_view bytes);
  /// Passes bytes to the library; none means the end of the connection.
  /// @returns the number of bytes that were parsed.
  size_t Execute(std::string_view bytes);
  void Fail(Http1ParseError error);
  void FinishHeader();
  /// Whether a further field exceeds the limit. That of requests is the number
  /// of their bytes.
  bool HasTooManyFields() const;

  const Direction m_direction;
  size_t m_max_head_bytes;
  Callbacks m_callbacks;
  std::unique_ptr<HttpParserAdapter> m_adapter;
  // Invariant: replaced as a whole when a message begins, so that nothing of a
  // message reaches the next one.
  Message m_message;
  // Heads of the current message, its interim responses and its trailer.
  size_t m_head_bytes = 0;
  Http1MessageScanner m_scanner;
  // Bytes after a complete message. Invariant: nothing is parsed between the
  // end of a message and Resume().
  std::string m_unparsed;
  bool m_paused = false;
  bool m_in_message = false;
  bool m_expects_no_body = false;
  Http1ParseError m_error = Http1ParseError::kNone;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP1_PARSER_H_
