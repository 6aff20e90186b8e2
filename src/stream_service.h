// All open streams of a daemon: new requests, callers that come back with
// Last-Event-ID, and news of the streams' copies.
#ifndef BRAMLEYBANK_SRC_STREAM_SERVICE_H_
#define BRAMLEYBANK_SRC_STREAM_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "stream_cursor.h"
#include "stream_environment.h"
#include "stream_request.h"
#include "stream_runner.h"
#include "stream_token_list.h"

namespace bramleybank {

class AdmissionLease;
class HttpResponder;

/// What another daemon holds of a stream.
struct StreamSnapshot {
  /// Attempt number that the resuming daemon is to use.
  uint32_t attempt = 0;
  std::string version;
  std::string adapter;
  std::string engine;
  /// Peer that holds the copy; empty when the tokens came from the owner.
  std::string copy_holder;
  /// Tokens from position 1 on; none when only the attempt number is known.
  StreamTokenList tokens;

  friend bool operator==(const StreamSnapshot&,
                         const StreamSnapshot&) = default;
};

/// Hooks to the daemons that held a stream before.
struct StreamRecoveryHooks {
  using HeldCallback = std::function<void(std::optional<StreamSnapshot>)>;

  /// Claims the stream from the holder of its copy.
  std::function<void(const StreamCursor&, HeldCallback)> claim_copy;
  /// Tells the former owner to stop; it answers with what it has.
  std::function<void(const StreamCursor&, HeldCallback)> release_owner;
  /// @returns version and adapter of an engine, from the configuration.
  std::function<std::optional<StreamBinding>(std::string_view address)>
      describe_engine;
};

/// Owner of the stream runners.
class StreamService {
 public:
  StreamService(StreamEnvironment environment, StreamRecoveryHooks recovery);
  ~StreamService();
  StreamService(const StreamService&) = delete;
  StreamService& operator=(const StreamService&) = delete;

  /// Starts a generation.
  /// @param lease kept until the stream is over.
  void Create(GenerationRequest request,
              std::shared_ptr<HttpResponder> responder,
              std::shared_ptr<AdmissionLease> lease);
  /// Goes on after the position in the cursor.
  void Resume(GenerationRequest request,
              const StreamCursor& cursor,
              std::shared_ptr<HttpResponder> responder);

  void OnCopied(uint64_t generation, uint64_t position);
  void OnUnprotected(uint64_t generation);
  void OnSuperseded(uint64_t generation);

  /// The caller has reached another daemon: stops the stream here.
  /// @returns what was held of it.
  std::optional<StreamSnapshot> Release(uint64_t generation);

  /// Hands all streams with output over to other daemons.
  void HandOverAll();

  /// Refuses what is still open when the daemon exits.
  void RefuseAllForExit();

  size_t open_streams() const { return m_runners.size(); }

 private:
  struct PendingResume;

  void Add(std::unique_ptr<StreamRunner> runner);
  StreamRunner* Find(uint64_t generation);
  std::function<void()> MakeOverCallback(uint64_t generation);
  void OnHeld(const std::shared_ptr<PendingResume>& pending,
              bool is_copy,
              std::optional<StreamSnapshot> held);
  void StartResumed(const PendingResume& pending,
                    const std::optional<StreamSnapshot>& held);
  void RefuseResume(HttpResponder* responder,
                    ResultCode code,
                    std::string message,
                    uint64_t position);

  StreamEnvironment m_environment;
  StreamRecoveryHooks m_recovery;
  std::unordered_map<uint64_t, std::unique_ptr<StreamRunner>> m_runners;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_SERVICE_H_
