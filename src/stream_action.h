// Actions that a StreamSession returns and its StreamRunner executes.
#ifndef BRAMLEYBANK_SRC_STREAM_ACTION_H_
#define BRAMLEYBANK_SRC_STREAM_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bramleybank/result_code.h"
#include "hooks.h"

namespace bramleybank {

/// Send the request to a newly chosen engine, which continues after `position`
/// tokens.
struct StartAttempt {
  uint32_t attempt = 0;
  uint64_t position = 0;

  friend bool operator==(const StartAttempt&, const StartAttempt&) = default;
};

/// Attach to the stream that the previous engine still runs and read it from
/// after `position` tokens.
struct AttachAttempt {
  uint32_t attempt = 0;
  uint64_t position = 0;

  friend bool operator==(const AttachAttempt&, const AttachAttempt&) = default;
};

/// Close the transfer of an attempt and tell its engine to stop the stream.
struct CancelAttempt {
  uint32_t attempt = 0;

  friend bool operator==(const CancelAttempt&, const CancelAttempt&) = default;
};

/// Append a token to the copy of the stream in another daemon.
struct CopyToken {
  uint64_t position = 0;
  std::string text;

  friend bool operator==(const CopyToken&, const CopyToken&) = default;
};

/// Forward a token to the caller.
struct DeliverToken {
  uint64_t position = 0;
  std::string text;

  friend bool operator==(const DeliverToken&, const DeliverToken&) = default;
};

/// The answer is complete; `count` tokens were forwarded to the caller.
struct FinishStream {
  std::string reason;
  uint64_t count = 0;

  friend bool operator==(const FinishStream&, const FinishStream&) = default;
};

/// The stream cannot be continued. Tell the caller the reason and the position
/// of the last token that it was sent.
struct GiveUpStream {
  Reason reason;
  uint64_t position = 0;

  friend bool operator==(const GiveUpStream&, const GiveUpStream&) = default;
};

/// Call OnResumeDue() after `delay`.
struct ScheduleResume {
  Duration delay{0};

  friend bool operator==(const ScheduleResume&,
                         const ScheduleResume&) = default;
};

using StreamAction = std::variant<StartAttempt,
                                  AttachAttempt,
                                  CancelAttempt,
                                  CopyToken,
                                  DeliverToken,
                                  FinishStream,
                                  GiveUpStream,
                                  ScheduleResume>;
using StreamActions = std::vector<StreamAction>;

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_ACTION_H_
