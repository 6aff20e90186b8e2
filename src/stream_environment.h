// What streams need from the rest of the daemon, as hooks.
#ifndef BRAMLEYBANK_SRC_STREAM_ENVIRONMENT_H_
#define BRAMLEYBANK_SRC_STREAM_ENVIRONMENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/result_code.h"
#include "hooks.h"

namespace bramleybank {

class EventLoop;
class HttpClient;
class MetricRegistry;

/// What an engine is needed for.
struct EngineQuery {
  std::string model;
  /// Set once a stream has output: it goes on only on the same version.
  std::optional<std::string> version;
  std::string adapter;
  /// Addresses of engines that this stream has lost.
  std::vector<std::string> avoid;
  std::string customer;
  uint64_t generation = 0;
  size_t prompt_bytes = 0;
  uint64_t prefix_hash = 0;
  uint64_t max_tokens = 0;

  friend bool operator==(const EngineQuery&, const EngineQuery&) = default;
};

struct EngineChoice {
  std::string address;
  std::string version;
  std::string adapter;
  /// Estimated time to first token, queueing included.
  Duration first_token{0};

  friend bool operator==(const EngineChoice&, const EngineChoice&) = default;
};

enum class EngineEventKind { kStarted, kFirstToken, kToken, kDone, kFailed };

/// What a stream saw of an engine.
struct EngineObservation {
  std::string_view address;
  EngineEventKind kind = EngineEventKind::kStarted;
  /// Time to first token; set for kFirstToken.
  Duration elapsed{0};
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

  /// Chooses an engine, or sets the reason why there is none.
  std::function<std::optional<EngineChoice>(const EngineQuery&, Reason*)>
      choose_engine;
  std::function<void(const EngineObservation&)> observe;
  /// Streams that this daemon has open on an engine.
  std::function<int(std::string_view address)> streams_on;

  /// Starts or updates the copy of a stream; `tokens` are those from position
  /// 1 on. @returns whether tokens are to wait for the copy.
  std::function<bool(const StreamCopyInfo&,
                     const std::vector<std::string>& tokens)>
      open_copy;
  std::function<
      void(uint64_t generation, uint64_t position, std::string_view text)>
      append_copy;
  std::function<void(uint64_t generation)> end_copy;
  /// @returns the peer that holds the copy; empty without one.
  std::function<std::string(uint64_t generation)> copy_holder;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_ENVIRONMENT_H_
