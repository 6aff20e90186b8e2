// The cursor of a stream, carried in the id of each event that a caller gets.
#ifndef BRAMLEYBANK_SRC_STREAM_CURSOR_H_
#define BRAMLEYBANK_SRC_STREAM_CURSOR_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleybank {

/// Where a stream stands and which processes hold it. Its text form is
/// `1-<generation>-<request hash>-<owner>-<copy>-<engine>-<attempt>-<position>`
/// with hexadecimal generation and hash, and `0` for an absent copy holder.
struct StreamCursor {
  /// Random number that names the generation.
  uint64_t generation = 0;
  /// Hash of the request's body, so that another request is refused.
  uint32_t request_hash = 0;
  /// Peer address of the daemon that serves the caller.
  std::string owner;
  /// Peer address of the daemon that holds the copy; empty without one.
  std::string copy_holder;
  /// Address of the engine.
  std::string engine;
  /// Grows with each attempt; also the epoch of the copy.
  uint32_t attempt = 0;
  /// Position of the last token passed on; the first token has 1.
  uint64_t position = 0;

  friend auto operator<=>(const StreamCursor&, const StreamCursor&) = default;
};

/// @returns the generation number as 16 hexadecimal digits.
std::string FormatGeneration(uint64_t generation);

std::string FormatStreamCursor(const StreamCursor& cursor);

/// @returns nothing when the text is not a cursor of a known format.
std::optional<StreamCursor> ParseStreamCursor(std::string_view text);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_CURSOR_H_
