// The table row of a non-idempotent call.
#ifndef BRAMLEYBANK_SRC_CALL_ROW_H_
#define BRAMLEYBANK_SRC_CALL_ROW_H_

#include <optional>
#include <string>
#include <string_view>

#include "http_types.h"

namespace bramleybank {

/// Answer of a service to a call.
struct CallAnswer {
  int status = 0;
  HttpHeaders headers;
  std::string body;

  friend bool operator==(const CallAnswer&, const CallAnswer&) = default;
};

enum class CallRowState {
  /// A daemon may be running the call, or it died while running it.
  kClaimed,
  /// The call ran and its answer is known.
  kDone,
  /// The call was sent and its answer was lost.
  kLost,
  /// The claimant gave up before it sent the first byte; the key may be claimed
  /// again.
  kReleased,
};

/// One row, stored as JSON with a `format` number.
struct CallRow {
  CallRowState state = CallRowState::kClaimed;
  /// Unique value of the claimant.
  std::string claim;
  /// Hash of method, path and body.
  std::string request_hash;
  /// Answer in state kDone. Its body is empty if `object` is set.
  CallAnswer answer;
  /// Name of the object that holds the body of a large answer; otherwise empty.
  std::string object;

  friend bool operator==(const CallRow&, const CallRow&) = default;
};

std::string FormatCallRow(const CallRow& row);

/// @returns nothing if the text is malformed or has another format number.
std::optional<CallRow> ParseCallRow(std::string_view text);

/// @returns the name of a state as stored and as shown to callers.
std::string_view CallRowStateName(CallRowState state);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CALL_ROW_H_
