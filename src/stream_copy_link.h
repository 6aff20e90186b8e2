// Connects streams with their copies in other daemons: sends copies of this
// daemon's streams, holds copies for other daemons, and fetches copies to
// resume streams from them.
#ifndef BRAMLEYBANK_SRC_STREAM_COPY_LINK_H_
#define BRAMLEYBANK_SRC_STREAM_COPY_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "peer_server.h"
#include "stream_copy_sender.h"
#include "stream_copy_store.h"
#include "stream_environment.h"
#include "stream_service.h"

namespace bramleybank {

class EventLoop;
class MetricRegistry;
class PeerClient;

/// Hooks of StreamCopyLink.
struct StreamCopyLinkHooks {
  /// @returns daemons that may hold copies, the most suitable first.
  std::function<std::vector<std::string>()> candidates;
  RandomHook random;
  // Events for the streams of this daemon; see StreamService.
  std::function<void(uint64_t generation, uint64_t position)> on_copied;
  std::function<void(uint64_t generation)> on_unprotected;
  std::function<void(uint64_t generation)> on_superseded;
  std::function<std::optional<StreamSnapshot>(uint64_t generation)> release;
};

/// Connects StreamService, StreamCopySender and StreamCopyStore to the peer
/// connections.
class StreamCopyLink {
 public:
  StreamCopyLink(EventLoop* loop,
                 PeerClient* client,
                 MetricRegistry* metrics,
                 std::string self,
                 StreamCopyLinkHooks hooks);
  ~StreamCopyLink();
  StreamCopyLink(const StreamCopyLink&) = delete;
  StreamCopyLink& operator=(const StreamCopyLink&) = delete;

  void Start();

  /// Sets the hooks for copies in `environment`.
  void Connect(StreamEnvironment* environment);

  // Implementations of StreamRecoveryHooks.
  void ClaimCopy(const StreamCursor& cursor,
                 StreamRecoveryHooks::SnapshotCallback callback);
  void ReleaseOwner(const StreamCursor& cursor,
                    StreamRecoveryHooks::SnapshotCallback callback);

  /// Serves a request from another daemon.
  /// @returns false when the path does not belong to stream copies.
  bool Handle(const std::string& path,
              std::string_view body,
              const PeerServer::ReplyFn& reply);

  /// A daemon was declared dead: moves the copies that it held to other
  /// daemons.
  void OnPeerLost(const std::string& peer);

  void UpdateGauges();

 private:
  StreamCopySenderHooks MakeSenderHooks();
  bool Open(const StreamCopyInfo& info, const StreamTokenList& tokens);
  std::optional<std::string> ChooseHolder(const std::string& failed_peer);
  void Send(const std::string& peer,
            const CopyAppend& batch,
            StreamCopySenderHooks::ReplyCallback callback);
  void HandleAppend(std::string_view body, const PeerServer::ReplyFn& reply);
  void HandleClaim(std::string_view body, const PeerServer::ReplyFn& reply);
  void HandleRelease(std::string_view body, const PeerServer::ReplyFn& reply);
  void ScheduleExpiry();

  EventLoop* m_loop;
  PeerClient* m_client;
  MetricRegistry* m_metrics;
  const std::string m_self;
  const StreamCopyLinkHooks m_hooks;
  StreamCopyStore m_store;
  std::unique_ptr<StreamCopySender> m_sender;
  TimerHandle m_sender_timer;
  TimerHandle m_expiry_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_COPY_LINK_H_
