// Hooks and shared objects through which streams use the rest of the daemon.
#ifndef BRAMLEYBANK_SRC_STREAM_ENVIRONMENT_H_
#define BRAMLEYBANK_SRC_STREAM_ENVIRONMENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/handle.h"
#include "bramleybank/result_code.h"
#include "hooks.h"
#include "route_endpoint_table.h"
#include "stream_session.h"
#include "stream_token_list.h"

namespace bramleybank {

class EventLoop;
class HttpClient;
class MetricRegistry;

struct EngineTicketTag;
/// Identifies one attempt in the router's accounting.
using EngineTicket = Handle<EngineTicketTag>;

/// Requirements for choosing an engine.
struct EngineQuery {
  std::string model;
  /// Set once a stream has output, because it may only be continued by the same
  /// model version.
  std::optional<std::string> version;
  std::string adapter;
  /// Addresses of engines on which an attempt of this stream has failed.
  std::vector<std::string> avoid;
  /// Valid during the call only.
  std::string_view prompt;
  uint64_t max_tokens = 0;
  /// Tokens that earlier attempts generated; the engine has to prefill them.
  uint64_t resumed_tokens = 0;
  /// The first attempt of a request is subject to admission control. Later ones
  /// are charged to the retry budget, or to its resume reserve if the stream
  /// has output.
  bool is_first_attempt = true;
  bool has_output = false;
  /// Set when `take_retry` has already charged the retry to the budget.
  bool is_retry_granted = false;
  /// Why the previous attempt was lost.
  AttemptLoss loss = AttemptLoss::kRefused;

  friend bool operator==(const EngineQuery&, const EngineQuery&) = default;
};

struct EngineChoice {
  EngineTicket ticket;
  std::string address;
  std::string version;
  std::string adapter;
  /// Estimated time to first token without queueing, and the estimated time in
  /// the engine's queue.
  Duration first_token{0};
  Duration queue{0};

  friend bool operator==(const EngineChoice&, const EngineChoice&) = default;
};

/// Why no engine could be chosen.
struct EngineRefusal {
  Reason reason;
  /// Suggested delay before the caller retries, in seconds.
  int retry_after_s = 1;

  friend bool operator==(const EngineRefusal&, const EngineRefusal&) = default;
};

/// Metadata that another daemon needs to resume a stream from its copy.
struct StreamCopyInfo {
  uint64_t generation = 0;
  uint32_t attempt = 0;
  uint32_t request_hash = 0;
  std::string model;
  std::string version;
  std::string adapter;
  std::string engine;
  /// For a stream that was resumed from its copy: the peer that holds the copy,
  /// and the position of the last token in it.
  std::string holder;
  uint64_t held_position = 0;

  friend bool operator==(const StreamCopyInfo&,
                         const StreamCopyInfo&) = default;
};

/// Hooks and shared objects of all streams of a daemon. The hooks about copies
/// are empty if streams are not copied.
struct StreamEnvironment {
  EventLoop* loop = nullptr;
  HttpClient* client = nullptr;
  MetricRegistry* metrics = nullptr;
  RandomHook random;
  /// Peer address of this daemon.
  std::string self;

  /// Chooses an engine, or returns nothing and sets the refusal. The ticket
  /// must be released through `on_engine_end`.
  std::function<std::optional<EngineChoice>(const EngineQuery&, EngineRefusal*)>
      choose_engine;
  /// Charges a retry of a request without output to the retry budget.
  /// @returns whether the budget allows it.
  std::function<bool(std::string_view model, AttemptLoss loss)> take_retry;
  /// Opens a ticket for an engine that already runs the stream.
  /// @returns nothing when the engine is not in the configuration.
  std::function<std::optional<EngineChoice>(std::string_view address)>
      adopt_engine;
  std::function<void(EngineTicket)> on_first_token;
  std::function<void(EngineTicket)> on_token;
  std::function<void(EngineTicket, EndOutcome)> on_engine_end;
  /// @returns the number of streams that this daemon has on the ticket's
  /// engine.
  std::function<uint32_t(EngineTicket)> streams_on;
  /// `on_stream_opened` is called when a new stream gets its first token, and
  /// at the start of a resumed stream; `on_stream_closed` is called when that
  /// stream ends. The size of the resume reserve depends on the number of
  /// streams that are open in this sense.
  std::function<void(std::string_view model)> on_stream_opened;
  std::function<void(std::string_view model)> on_stream_closed;

  // Copy of a stream in another daemon.

  /// Starts the copy of a stream; `tokens` begin at position 1.
  /// @returns whether a daemon was found that can hold the copy.
  std::function<bool(const StreamCopyInfo&, const StreamTokenList& tokens)>
      open_copy;
  /// All further tokens belong to a new attempt on another engine.
  std::function<void(const StreamCopyInfo&)> update_copy;
  std::function<void(uint64_t generation, std::string_view text)> append_copy;
  /// Deletes the copy: the caller has the complete answer, or it has not
  /// reconnected in time.
  std::function<void(uint64_t generation)> end_copy;
  /// Stops copying, but leaves the copy for the daemon that resumes the stream.
  std::function<void(uint64_t generation)> abandon_copy;
  /// @returns the peer that holds the copy; empty if there is none.
  std::function<std::string(uint64_t generation)> copy_holder;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_ENVIRONMENT_H_
