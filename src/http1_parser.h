// Incremental HTTP/1.1 parser for both directions, on libhttp-parser.
#ifndef BRAMLEYBANK_SRC_HTTP1_PARSER_H_
#define BRAMLEYBANK_SRC_HTTP1_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http1_head_scanner.h"
#include "http_types.h"

namespace bramleybank {

/// Start line and headers of one message.
struct Http1Head {
  /// Requests only.
  std::string method;
  /// Requests only: path and query as sent.
  std::string target;
  /// Responses only.
  int status = 0;
  HttpHeaders headers;
  /// Whether the sender keeps the connection open after this message.
  bool keep_alive = false;

  friend bool operator==(const Http1Head&, const Http1Head&) = default;
};

/// What makes a message unacceptable.
enum class Http1ParseError : uint8_t {
  kNone,
  kMalformed,
  /// Length given twice, or in a form that two readers may understand
  /// differently; such a request could carry a second one inside.
  kAmbiguousLength,
  kHeadTooLarge,
};

/// Parses the messages of one connection, one at a time.
class Http1Parser {
 public:
  enum class Direction : uint8_t { kRequests, kResponses };

  struct Callbacks {
    /// Interim responses (1xx) are skipped.
    std::function<void(Http1Head head)> on_head;
    std::function<void(std::string_view data)> on_body;
    /// The message is whole. Bytes after it are kept until Resume().
    std::function<void()> on_complete;
  };

  Http1Parser(Direction direction, size_t max_head_bytes, Callbacks callbacks);
  ~Http1Parser();
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  /// Parses bytes up to the end of a message; keeps the rest.
  void Feed(std::string_view bytes);
  /// Goes on with bytes kept after a whole message.
  void Resume();
  /// The peer closed in order: completes a response without a length.
  void FeedEof();

  /// The next response answers a HEAD request and has no body.
  void ExpectNoBody() { m_no_body = true; }

  Http1ParseError error() const { return m_fault; }
  /// Whether part of a message has been read.
  bool is_inside_message() const { return m_inside; }
  size_t unparsed_bytes() const { return m_kept.size(); }

 private:
  struct Library;
  friend struct Library;

  void Parse(std::string_view bytes);
  void Fail(Http1ParseError error);
  void FinishHeader();

  const Direction m_direction;
  const size_t m_max_head_bytes;
  Callbacks m_callbacks;
  std::unique_ptr<Library> m_library;
  Http1Head m_head;
  size_t m_head_bytes = 0;
  // Requests only.
  Http1HeadScanner m_scanner;
  std::string m_field;
  std::string m_value;
  bool m_in_value = false;
  // Invariant: no byte is parsed between a whole message and Resume().
  std::string m_kept;
  bool m_paused = false;
  bool m_inside = false;
  bool m_no_body = false;
  bool m_interim = false;
  Http1ParseError m_fault = Http1ParseError::kNone;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP1_PARSER_H_
