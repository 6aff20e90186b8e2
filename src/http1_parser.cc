// Callbacks for libhttp-parser. The library rejects a message that has both a
// Content-Length and chunked encoding; the other ambiguous forms are rejected
// here.
#include "http1_parser.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "http1_status.h"
#include "release_memory.h"

namespace bramleybank {
namespace {

// Counted for each start line, so that interim responses without headers are
// bounded too.
constexpr size_t kMinStartLineBytes = 15;

}  // namespace

struct Http1Parser::HttpParserAdapter {
  http_parser parser{};

  static Http1Parser* Self(http_parser* parser) {
    return static_cast<Http1Parser*>(parser->data);
  }

  static int OnBegin(http_parser* parser) {
    Http1Parser* self = Self(parser);
    self->m_message = {};
    self->m_in_message = true;
    return CountHeadBytes(self, kMinStartLineBytes) ? 0 : 1;
  }

  static bool CountHeadBytes(Http1Parser* self, size_t size) {
    self->m_head_bytes += size;
    if (self->m_head_bytes <= self->m_max_head_bytes) {
      return true;
    }
    self->m_error = Http1ParseError::kHeadTooLarge;
    return false;
  }

  static int OnUrl(http_parser* parser, const char* at, size_t size) {
    Http1Parser* self = Self(parser);
    self->m_message.head.target.append(at, size);
    return CountHeadBytes(self, size) ? 0 : 1;
  }

  static int OnField(http_parser* parser, const char* at, size_t size) {
    Http1Parser* self = Self(parser);
    Message& message = self->m_message;
    if (message.in_value) {
      self->FinishHeader();
      if (self->HasTooManyFields()) {
        self->m_error = Http1ParseError::kHeadTooLarge;
        return 1;
      }
    }
    if (!message.in_trailer) {
      message.field.append(at, size);
    }
    return CountHeadBytes(self, size) ? 0 : 1;
  }

  static int OnValue(http_parser* parser, const char* at, size_t size) {
    Http1Parser* self = Self(parser);
    Message& message = self->m_message;
    if (!message.in_trailer) {
      message.in_value = true;
      message.value.append(at, size);
    }
    return CountHeadBytes(self, size) ? 0 : 1;
  }

  static int OnHeadersComplete(http_parser* parser) {
    Http1Parser* self = Self(parser);
    Message& message = self->m_message;
    if (!message.field.empty()) {
      self->FinishHeader();
    }
    if (HasAmbiguousLength(message.head.headers)) {
      self->m_error = Http1ParseError::kAmbiguousLength;
      return -1;
    }
    message.head.keep_alive = http_should_keep_alive(parser) != 0;
    if (self->m_direction == Direction::kRequests) {
      message.head.method =
          http_method_str(static_cast<http_method>(parser->method));
    } else {
      message.head.status = static_cast<int>(parser->status_code);
      message.is_interim = message.head.status < kMinFinalStatus;
    }
    if (message.head.status == kStatusSwitchingProtocols) {
      // No request asks for another protocol, whose bytes would follow.
      self->m_error = Http1ParseError::kMalformed;
      return -1;
    }
    if ((parser->flags & F_CHUNKED) != 0) {
      self->m_scanner.StartChunks();
    }
    if (!message.is_interim) {
      self->m_callbacks.on_head(std::move(message.head));
    }
    // A result of 1 tells the library that no body follows.
    return self->m_expects_no_body ||
                   HasNoBody(static_cast<int>(parser->status_code))
               ? 1
               : 0;
  }

  static int OnChunkSize(http_parser* parser) {
    // The library stores the size of a chunk here. The trailer follows the
    // chunk of size 0.
    Self(parser)->m_message.in_trailer = parser->content_length == 0;
    return 0;
  }

  static int OnBody(http_parser* parser, const char* at, size_t size) {
    Self(parser)->m_callbacks.on_body({at, size});
    return 0;
  }

  static int OnComplete(http_parser* parser) {
    Http1Parser* self = Self(parser);
    if (self->m_message.is_interim) {
      self->m_scanner.Reset();
      return 0;
    }
    self->m_in_message = false;
    self->m_expects_no_body = false;
    self->m_head_bytes = 0;
    self->m_paused = true;
    http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings* Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings result;
      http_parser_settings_init(&result);
      result.on_message_begin = &OnBegin;
      result.on_url = &OnUrl;
      result.on_header_field = &OnField;
      result.on_header_value = &OnValue;
      result.on_headers_complete = &OnHeadersComplete;
      result.on_chunk_header = &OnChunkSize;
      result.on_body = &OnBody;
      result.on_message_complete = &OnComplete;
      return result;
    }();
    return &settings;
  }
};

Http1Parser::Http1Parser(Direction direction,
                         size_t max_head_bytes,
                         Callbacks callbacks)
    : m_direction(direction),
      m_max_head_bytes(max_head_bytes),
      m_callbacks(std::move(callbacks)),
      m_adapter(std::make_unique<HttpParserAdapter>()),
      m_scanner(direction == Direction::kRequests ? Http1LineRules::kRequest
                                                  : Http1LineRules::kResponse) {
  http_parser_init(&m_adapter->parser, direction == Direction::kRequests
                                           ? HTTP_REQUEST
                                           : HTTP_RESPONSE);
  m_adapter->parser.data = this;
}

Http1Parser::~Http1Parser() = default;

void Http1Parser::FinishHeader() {
  // White space before a colon is not passed on.
  const size_t end = m_message.field.find_last_not_of(" \t");
  m_message.field.resize(end + 1);
  m_message.head.headers.emplace_back(std::exchange(m_message.field, {}),
                                      std::exchange(m_message.value, {}));
  m_message.in_value = false;
}

bool Http1Parser::HasTooManyFields() const {
  return m_direction == Direction::kResponses &&
         m_message.head.headers.size() >= kMaxEndpointHeaderFields;
}

void Http1Parser::Feed(std::string_view bytes) {
  if (m_error != Http1ParseError::kNone) {
    return;
  }
  if (m_paused) {
    m_unparsed.append(bytes);
    return;
  }
  Parse(bytes);
}

void Http1Parser::Parse(std::string_view bytes) {
  do {
    const size_t size = ScanNext(bytes);
    if (m_error != Http1ParseError::kNone) {
      return;
    }
    const size_t parsed = Execute(bytes.substr(0, size));
    if (m_paused) {
      m_unparsed.assign(bytes.substr(parsed));
      m_callbacks.on_complete();
      return;
    }
    bytes.remove_prefix(size);
  } while (!bytes.empty() && m_error == Http1ParseError::kNone);
}

size_t Http1Parser::ScanNext(std::string_view bytes) {
  const size_t size = m_scanner.Scan(bytes);
  if (!m_scanner.is_valid()) {
    Fail(Http1ParseError::kMalformed);
  }
  return size;
}

size_t Http1Parser::Execute(std::string_view bytes) {
  const size_t parsed =
      http_parser_execute(&m_adapter->parser, HttpParserAdapter::Settings(),
                          bytes.data(), bytes.size());
  const auto code = static_cast<enum http_errno>(m_adapter->parser.http_errno);
  if (code == HPE_PAUSED) {
    return parsed;
  }
  if (code == HPE_UNEXPECTED_CONTENT_LENGTH ||
      code == HPE_INVALID_TRANSFER_ENCODING) {
    Fail(Http1ParseError::kAmbiguousLength);
  } else if (code == HPE_HEADER_OVERFLOW) {
    Fail(Http1ParseError::kHeadTooLarge);
  } else if (code != HPE_OK || m_adapter->parser.upgrade != 0) {
    Fail(Http1ParseError::kMalformed);
  }
  return parsed;
}

void Http1Parser::Fail(Http1ParseError error) {
  if (m_error == Http1ParseError::kNone) {
    m_error = error;
  }
}

void Http1Parser::Resume() {
  if (!m_paused || m_error != Http1ParseError::kNone) {
    return;
  }
  m_paused = false;
  m_scanner.Reset();
  http_parser_pause(&m_adapter->parser, 0);
  if (!m_unparsed.empty()) {
    const std::string bytes = std::exchange(m_unparsed, {});
    Parse(bytes);
  }
}

void Http1Parser::Discard() {
  ReleaseMemory(&m_message);
  ReleaseMemory(&m_unparsed);
  m_head_bytes = 0;
}

void Http1Parser::FeedEof() {
  if (!m_paused && m_error == Http1ParseError::kNone) {
    Parse({});
  }
}

}  // namespace bramleybank
