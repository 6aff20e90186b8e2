// What a stream session asks its runner to do.
#ifndef BRAMLEYBANK_SRC_STREAM_ACTION_H_
#define BRAMLEYBANK_SRC_STREAM_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bramleybank/result_code.h"
#include "hooks.h"

namespace bramleybank {

/// Send the generation to a newly chosen engine, after `position` tokens.
struct StartAttempt {
  uint32_t attempt = 0;
  uint64_t position = 0;

  friend bool operator==(const StartAttempt&, const StartAttempt&) = default;
};

/// Attach to the stream that the engine still runs, after `position` tokens.
struct AttachAttempt {
  uint32_t attempt = 0;
  uint64_t position = 0;

  friend bool operator==(const AttachAttempt&, const AttachAttempt&) = default;
};

/// Drop the transfer of an attempt and tell its engine to stop.
struct CancelAttempt {
  uint32_t attempt = 0;

  friend bool operator==(const CancelAttempt&, const CancelAttempt&) = default;
};

/// Add a token to the stream's copy.
struct CopyToken {
  uint64_t position = 0;
  std::string text;

  friend bool operator==(const CopyToken&, const CopyToken&) = default;
};

/// Pass a token on to the caller.
struct DeliverToken {
  uint64_t position = 0;
  std::string text;

  friend bool operator==(const DeliverToken&, const DeliverToken&) = default;
};

/// The answer is whole; `count` tokens were passed on.
struct FinishStream {
  std::string reason;
  uint64_t count = 0;

  friend bool operator==(const FinishStream&, const FinishStream&) = default;
};

/// The stream cannot go on; tell the caller how far it reached.
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
