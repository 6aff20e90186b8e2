// Cursor of a stream, sent to the caller as the id of each event.
#ifndef BRAMLEYBANK_SRC_STREAM_CURSOR_H_
#define BRAMLEYBANK_SRC_STREAM_CURSOR_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleybank {

/// Position of a stream and the processes that serve it. Its text form is
/// `1-<generation>-<request hash>-<owner>-<copy>-<engine>-<attempt>-<position>`
/// with hexadecimal generation and hash, and `0` for an absent copy holder.
struct StreamCursor {
  /// Random number that identifies the generation.
  uint64_t generation = 0;
  /// Hash of the request's body, to refuse a reconnect with a different
  /// request.
  uint32_t request_hash = 0;
  /// Peer address of the daemon that serves the caller.
  std::string owner;
  /// Peer address of the daemon that holds the copy; empty if there is none.
  std::string copy_holder;
  /// Address of the engine.
  std::string engine;
  /// Number of the attempt, increasing; also the epoch of the copy.
  uint32_t attempt = 0;
  /// Position of the last token sent to the caller; the first token has
  /// position 1.
  uint64_t position = 0;

  friend auto operator<=>(const StreamCursor&, const StreamCursor&) = default;
};

/// @returns the generation's number as 16 hexadecimal digits.
std::string FormatGeneration(uint64_t generation);

std::string FormatStreamCursor(const StreamCursor& cursor);

/// @returns nothing when `text` is not a valid cursor of a known format.
std::optional<StreamCursor> ParseStreamCursor(std::string_view text);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_CURSOR_H_
