// Owns all open streams of a daemon: starts new requests, resumes streams for
// callers that reconnect with Last-Event-ID, and dispatches copy events.
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

/// State of a stream as received from the daemon that owned it or held its
/// copy.
struct StreamSnapshot {
  /// Attempt number that the resuming daemon must use.
  uint32_t attempt = 0;
  std::string version;
  std::string adapter;
  std::string engine;
  /// Peer that holds the copy; empty when the former owner sent the tokens.
  std::string copy_holder;
  /// Tokens from position 1 on; empty when only the attempt number is known.
  StreamTokenList tokens;

  friend bool operator==(const StreamSnapshot&,
                         const StreamSnapshot&) = default;
};

/// Hooks that query the daemons that owned a stream or hold its copy.
struct StreamRecoveryHooks {
  using SnapshotCallback = std::function<void(std::optional<StreamSnapshot>)>;

  /// Claims the stream from the holder of its copy.
  std::function<void(const StreamCursor&, SnapshotCallback)> claim_copy;
  /// Tells the former owner to stop the stream and to return its snapshot.
  std::function<void(const StreamCursor&, SnapshotCallback)> release_owner;
  /// @returns the version and adapter of an engine, from the configuration.
  std::function<std::optional<StreamBinding>(std::string_view address)>
      describe_engine;
};

/// Creates the stream runners and destroys them when their streams are over.
class StreamService {
 public:
  StreamService(StreamEnvironment environment, StreamRecoveryHooks recovery);
  ~StreamService();
  StreamService(const StreamService&) = delete;
  StreamService& operator=(const StreamService&) = delete;

  /// Starts a generation.
  /// @param lease held until the stream is over.
  void Create(GenerationRequest request,
              std::shared_ptr<HttpResponder> responder,
              std::shared_ptr<AdmissionLease> lease);
  /// Continues a stream after the position in the cursor.
  void Resume(GenerationRequest request,
              const StreamCursor& cursor,
              std::shared_ptr<HttpResponder> responder);

  void OnCopied(uint64_t generation, uint64_t position);
  void OnUnprotected(uint64_t generation);
  void OnSuperseded(uint64_t generation);

  /// The caller has reconnected to another daemon: stops the stream here.
  /// @returns a snapshot of the stream, or nothing when the stream or its first
  /// tokens are not here.
  std::optional<StreamSnapshot> Release(uint64_t generation);

  /// Hands over all streams with output to other daemons.
  void HandOverAll();

  /// Refuses the requests that are still open when the daemon exits.
  void RefuseAllForExit();

  size_t open_streams() const { return m_runners.size(); }

 private:
  struct PendingResume;

  void Add(std::unique_ptr<StreamRunner> runner);
  StreamRunner* Find(uint64_t generation);
  std::function<void()> MakeRemovalCallback(uint64_t generation);
  void OnSnapshot(const std::shared_ptr<PendingResume>& pending,
                  bool is_copy,
                  std::optional<StreamSnapshot> snapshot);
  void StartResumed(const PendingResume& pending,
                    const std::optional<StreamSnapshot>& snapshot);
  /// Continues an open stream for a caller that has reconnected.
  void ReattachOrRefuse(StreamRunner* runner,
                        const std::shared_ptr<HttpResponder>& responder,
                        uint64_t position);
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
