// Guards against state of the parser that outlives a message: each message of a
// random sequence on one connection must be read as on a connection of its own.
#include <doctest/doctest.h>

#include <cstdio>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "http1_parser.h"

namespace bramleybank {
namespace {

constexpr size_t kMaxHeadBytes = 4096;
constexpr unsigned kSeeds = 300;
constexpr int kMessages = 12;

using Direction = Http1Parser::Direction;

struct ParsedMessage {
  Http1Head head;
  std::string body;
  bool is_complete = false;

  friend bool operator==(const ParsedMessage&, const ParsedMessage&) = default;
};

struct WireMessage {
  std::string bytes;
  bool answers_head_request = false;
};

/// Reads messages and keeps what their receiver gets to see.
class Reader {
 public:
  explicit Reader(Direction direction)
      : m_parser(
            direction,
            kMaxHeadBytes,
            {.on_head =
                 [this](Http1Head head) {
                   messages.push_back({.head = std::move(head)});
                 },
             .on_body =
                 [this](std::string_view data) {
                   messages.back().body += data;
                 },
             .on_complete = [this] { messages.back().is_complete = true; }}) {}

  void Read(const WireMessage& message,
            size_t max_piece,
            std::mt19937* random) {
    if (message.answers_head_request) {
      m_parser.ExpectNoBody();
    }
    for (size_t at = 0; at < message.bytes.size();) {
      const size_t piece = 1 + (*random)() % max_piece;
      m_parser.Feed(std::string_view(message.bytes).substr(at, piece));
      at += piece;
    }
    m_parser.Resume();
  }

  Http1ParseError error() const { return m_parser.error(); }

  std::vector<ParsedMessage> messages;

 private:
  Http1Parser m_parser;
};

/// Makes valid messages of all forms.
class Generator {
 public:
  Generator(Direction direction, std::mt19937* random)
      : m_direction(direction), m_random(random) {}

  WireMessage Next() {
    WireMessage message;
    std::string& bytes = message.bytes;
    const bool is_response = m_direction == Direction::kResponses;
    bool has_body = true;
    if (is_response) {
      while (Chance(4)) {
        bytes += "HTTP/1.1 103 Early Hints\r\n" + Fields() + "\r\n";
      }
      const std::string status = Pick({"200 OK", "204 None", "304 Same"});
      message.answers_head_request = Chance(4);
      has_body = status.starts_with("200") && !message.answers_head_request;
      bytes += "HTTP/1.1 " + status + "\r\n" + Fields();
    } else {
      bytes += Pick({"GET", "POST", "HEAD"}) + " /" +
               std::to_string((*m_random)() % 100) + " HTTP/1.1\r\n" + Fields();
    }
    const std::string body(1 + (*m_random)() % 20, 'b');
    if (Chance(2)) {
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      bytes += has_body ? body : "";
    } else {
      bytes += "Transfer-Encoding: chunked\r\n\r\n";
      bytes += has_body ? Chunks(body) : "";
    }
    return message;
  }

 private:
  bool Chance(unsigned one_in) { return (*m_random)() % one_in == 0; }

  std::string Pick(const std::vector<std::string>& choices) {
    return choices[(*m_random)() % choices.size()];
  }

  std::string Fields() {
    std::string fields;
    while (!Chance(3)) {
      fields += Pick({"Host", "X-One", "X-Two", "Connection"}) + ":" +
                Pick({"", " a", " close", " keep-alive", " \t b c "}) + "\r\n";
    }
    return fields;
  }

  std::string Chunks(const std::string& body) {
    const size_t half = body.size() / 2;
    std::string chunks;
    for (const std::string& part : {body.substr(0, half), body.substr(half)}) {
      char size[16];
      std::snprintf(size, sizeof(size), "%zx", part.size());
      if (!part.empty()) {
        chunks +=
            size + Pick({"", ";x", ";x=\"y z\""}) + "\r\n" + part + "\r\n";
      }
    }
    return chunks + "0\r\n" + Fields() + "\r\n";
  }

  Direction m_direction;
  std::mt19937* m_random;
};

TEST_CASE("a message is read in the same way after any other message") {
  for (const Direction direction :
       {Direction::kRequests, Direction::kResponses}) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(seed);
      std::mt19937 random(seed);
      Generator generator(direction, &random);
      Reader shared(direction);
      for (int i = 0; i < kMessages; ++i) {
        const WireMessage message = generator.Next();
        CAPTURE(message.bytes);
        const size_t max_piece = 1 + random() % message.bytes.size();
        shared.Read(message, max_piece, &random);
        Reader alone(direction);
        alone.Read(message, max_piece, &random);
        REQUIRE(shared.error() == Http1ParseError::kNone);
        REQUIRE(alone.messages.size() == 1);
        REQUIRE(alone.messages[0].is_complete);
        REQUIRE(shared.messages.size() == static_cast<size_t>(i + 1));
        CHECK(shared.messages.back() == alone.messages[0]);
      }
    }
  }
}

}  // namespace
}  // namespace bramleybank
