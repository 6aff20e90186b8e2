// What streams need from the rest of the daemon, as hooks.
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
/// One attempt as the routing knows it.
using EngineTicket = Handle<EngineTicketTag>;

/// What an engine is needed for.
struct EngineQuery {
  std::string model;
  /// Set once a stream has output: it goes on only on the same version.
  std::optional<std::string> version;
  std::string adapter;
  /// Addresses of engines that this stream has lost.
  std::vector<std::string> avoid;
  /// Valid during the call only.
  std::string_view prompt;
  uint64_t max_tokens = 0;
  /// Tokens that were generated before; part of the engine's prefill.
  uint64_t resumed_tokens = 0;
  /// The first attempt of a request is subject to admission; later ones draw
  /// from the retry budget, and those of a stream with output from its reserve.
  bool is_first_attempt = true;
  bool has_output = false;
  /// The retry was granted by `take_retry`.
  bool is_retry_granted = false;
  /// Why the attempt before was lost.
  AttemptLoss loss = AttemptLoss::kRefused;

  friend bool operator==(const EngineQuery&, const EngineQuery&) = default;
};

struct EngineChoice {
  EngineTicket ticket;
  std::string address;
  std::string version;
  std::string adapter;
  /// Estimated time to first token without the queue, and the queue.
  Duration first_token{0};
  Duration queue{0};

  friend bool operator==(const EngineChoice&, const EngineChoice&) = default;
};

/// Why no engine was chosen.
struct EngineRefusal {
  Reason reason;
  /// Seconds after which another try makes sense.
  int retry_after_s = 1;

  friend bool operator==(const EngineRefusal&, const EngineRefusal&) = default;
};

/// What a second daemon must know to resume a stream.
struct StreamCopyInfo {
  uint64_t generation = 0;
  uint32_t attempt = 0;
  uint32_t request_hash = 0;
  std::string model;
  std::string version;
  std::string adapter;
  std::string engine;
  /// Peer that holds a copy already, and how many tokens it has; for a stream
  /// that was resumed from its copy.
  std::string holder;
  uint64_t held = 0;

  friend bool operator==(const StreamCopyInfo&,
                         const StreamCopyInfo&) = default;
};

/// Hooks and shared objects of all streams of a daemon.
struct StreamEnvironment {
  EventLoop* loop = nullptr;
  HttpClient* client = nullptr;
  MetricRegistry* metrics = nullptr;
  RandomHook random;
  /// Peer address of this daemon.
  std::string self;

  /// Chooses an engine, or says why there is none. The ticket must be given
  /// back through `on_engine_end`.
  std::function<std::optional<EngineChoice>(const EngineQuery&, EngineRefusal*)>
      choose_engine;
  /// Takes a retry of a request without output from the budget.
  std::function<bool(std::string_view model, AttemptLoss loss)> take_retry;
  /// Takes a ticket for an engine that runs the stream already. @returns
  /// nothing when the configuration does not know the engine.
  std::function<std::optional<EngineChoice>(std::string_view address)>
      adopt_engine;
  std::function<void(EngineTicket)> on_first_token;
  std::function<void(EngineTicket)> on_token;
  std::function<void(EngineTicket, EndOutcome)> on_engine_end;
  /// @returns streams that this daemon has on the engine of the ticket.
  std::function<uint32_t(EngineTicket)> streams_on;
  /// Called when a stream has got its first token, and when it is over after
  /// that, or from the start for a resumed stream; the resume reserve counts
  /// the streams between.
  std::function<void(std::string_view model)> on_stream_opened;
  std::function<void(std::string_view model)> on_stream_closed;

  // The copy in a second daemon. Empty hooks mean that there are no copies.

  /// Starts the copy of a stream; `tokens` are those from position 1 on.
  /// @returns whether a daemon could be chosen that holds it.
  std::function<bool(const StreamCopyInfo&, const StreamTokenList& tokens)>
      open_copy;
  /// Tokens from now on belong to a new attempt on another engine.
  std::function<void(const StreamCopyInfo&)> update_copy;
  std::function<void(uint64_t generation, std::string_view text)> append_copy;
  /// The caller has the whole answer, or it will not come back.
  std::function<void(uint64_t generation)> end_copy;
  /// The copy stays for the daemon that resumes the stream.
  std::function<void(uint64_t generation)> abandon_copy;
  /// @returns the peer that holds the copy; empty without one.
  std::function<std::string(uint64_t generation)> copy_holder;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_ENVIRONMENT_H_
