// Finds forms in the head of a request that readers understand differently.
#ifndef BRAMLEYBANK_SRC_HTTP1_HEAD_SCANNER_H_
#define BRAMLEYBANK_SRC_HTTP1_HEAD_SCANNER_H_

#include <cstdint>
#include <string_view>

namespace bramleybank {

/// Scans the bytes of one head: bare LF line ends, folded lines, and blanks
/// before the colon of a header. libhttp-parser accepts them, and an endpoint
/// behind this daemon may read another request out of them.
class Http1HeadScanner {
 public:
  /// Takes the next bytes; those after the head are ignored.
  /// @returns whether the head is sound so far.
  bool Scan(std::string_view bytes);
  /// The next byte begins a new head.
  void Restart() { *this = Http1HeadScanner(); }

 private:
  enum class State : uint8_t {
    /// Empty lines before the request line are skipped.
    kBefore,
    kRequestLine,
    kLineStart,
    kName,
    kValue,
    kDone,
    kUnsound,
  };

  void Take(char byte);
  void EndLine();

  State m_state = State::kBefore;
  // Whether the last byte was a carriage return.
  bool m_after_return = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP1_HEAD_SCANNER_H_
