// Sends and serves the peer messages for stream copies.
#include "stream_copy_link.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "event_loop.h"
#include "metric_registry.h"
#include "peer_client.h"
#include "peer_message.h"
#include "stream_cursor.h"

namespace bramleybank {
namespace {

/// A batch without a reply after this time has failed. It is longer than
/// kCopyAckTimeout, after which tokens no longer wait for the copy, because the
/// reply may still arrive after that.
constexpr Duration kAppendTimeout = std::chrono::seconds(1);
/// Timeout of a request to a former owner or holder; part of the 3 s within
/// which a stream must resume.
constexpr Duration kClaimTimeout = std::chrono::milliseconds(500);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
/// Number of holders among which new copies are distributed. Tokens for the
/// same holder share batches: with 20 holders a copied token costs 25 us of CPU
/// on both sides together, with one holder 9 us (bench_copy).
constexpr size_t kHoldersInUse = 2;
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;

StreamSnapshot ToSnapshot(const CopyClaimReply& reply,
                          const std::string& holder) {
  return {.attempt = reply.attempt,
          .version = reply.identity.version,
          .adapter = reply.identity.adapter,
          .engine = reply.identity.engine,
          .copy_holder = holder,
          .tokens = reply.tokens};
}

}  // namespace

StreamCopyLink::StreamCopyLink(EventLoop* loop,
                               PeerClient* client,
                               MetricRegistry* metrics,
                               std::string self,
                               StreamCopyLinkHooks hooks)
    : m_loop(loop),
      m_client(client),
      m_metrics(metrics),
      m_self(std::move(self)),
      m_hooks(std::move(hooks)),
      m_store([loop] { return loop->Now(); }),
      m_sender(std::make_unique<StreamCopySender>(m_self, MakeSenderHooks())) {
  assert(loop != nullptr && client != nullptr && metrics != nullptr);
}

StreamCopyLink::~StreamCopyLink() {
  m_loop->Cancel(m_sender_timer);
  m_loop->Cancel(m_expiry_timer);
}

void StreamCopyLink::Start() {
  ScheduleExpiry();
}

void StreamCopyLink::ScheduleExpiry() {
  m_expiry_timer = m_loop->Schedule(kExpiryInterval, [this] {
    m_store.Expire(m_loop->Now());
    ScheduleExpiry();
  });
}

StreamCopySenderHooks StreamCopyLink::MakeSenderHooks() {
  StreamCopySenderHooks hooks;
  hooks.clock = [loop = m_loop] { return loop->Now(); };
  hooks.send = [this](const std::string& peer, const CopyAppend& batch,
                      StreamCopySenderHooks::ReplyCallback callback) {
    Send(peer, batch, std::move(callback));
  };
  hooks.set_timer = [this](TimePoint due) {
    m_loop->Cancel(m_sender_timer);
    m_sender_timer =
        m_loop->Schedule(due - m_loop->Now(), [this] { m_sender->OnTimer(); });
  };
  hooks.choose_holder = [this](uint64_t, const std::string& failed_peer) {
    return ChooseHolder(failed_peer);
  };
  hooks.on_acked = [this](uint64_t generation, uint64_t position) {
    m_hooks.on_copied(generation, position);
  };
  hooks.on_unprotected = [this](uint64_t generation) {
    m_hooks.on_unprotected(generation);
  };
  hooks.on_superseded = [this](uint64_t generation, uint32_t /*attempt*/) {
    m_hooks.on_superseded(generation);
  };
  return hooks;
}

std::optional<std::string> StreamCopyLink::ChooseHolder(
    const std::string& failed_peer) {
  std::vector<std::string> candidates = m_hooks.candidates();
  std::erase(candidates, failed_peer);
  std::erase(candidates, m_self);
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[m_hooks.random() %
                    std::min(candidates.size(), kHoldersInUse)];
}

void StreamCopyLink::Send(const std::string& peer,
                          const CopyAppend& batch,
                          StreamCopySenderHooks::ReplyCallback callback) {
  m_metrics->Count("bramleybank_copy_batches_total");
  m_client->Call(peer, kPathCopyAppend, EncodePeerMessage(batch),
                 kAppendTimeout,
                 [callback = std::move(callback)](const PeerReply& reply) {
                   if (reply.status != PeerStatus::kOk) {
                     callback(std::nullopt);
                     return;
                   }
                   callback(DecodePeerMessage<CopyAppendReply>(reply.body));
                 });
}

void StreamCopyLink::Connect(StreamEnvironment* environment) {
  environment->open_copy = [this](const StreamCopyInfo& info,
                                  const StreamTokenList& tokens) {
    return Open(info, tokens);
  };
  environment->update_copy = [this](const StreamCopyInfo& info) {
    m_sender->SetAttempt(info.generation, info.attempt, info.engine);
  };
  environment->append_copy = [this](uint64_t generation,
                                    std::string_view text) {
    m_sender->Append(generation, text);
  };
  environment->end_copy = [this](uint64_t generation) {
    m_sender->Finish(generation);
  };
  environment->abandon_copy = [this](uint64_t generation) {
    m_sender->Abandon(generation);
  };
  environment->copy_holder = [this](uint64_t generation) {
    return m_sender->holder(generation);
  };
}

bool StreamCopyLink::Open(const StreamCopyInfo& info,
                          const StreamTokenList& tokens) {
  CopiedStream stream;
  stream.generation = info.generation;
  stream.attempt = info.attempt;
  stream.identity = {.request_hash = info.request_hash,
                     .model = info.model,
                     .version = info.version,
                     .adapter = info.adapter,
                     .engine = info.engine};
  stream.tokens = tokens;
  // A copy in this daemon would be lost together with the stream, so another
  // holder is chosen.
  if (info.holder != m_self) {
    stream.holder = info.holder;
    stream.held_position = info.holder.empty() ? 0 : info.held_position;
  }
  // A previous stream of the same generation may not have ended yet.
  m_sender->Abandon(info.generation);
  m_sender->Open(std::move(stream));
  return !m_sender->holder(info.generation).empty();
}

void StreamCopyLink::ClaimCopy(const StreamCursor& cursor,
                               StreamRecoveryHooks::SnapshotCallback callback) {
  const CopyClaim claim{.generation = cursor.generation,
                        .request_hash = cursor.request_hash,
                        .minimum_attempt = cursor.attempt,
                        .claimant = m_self};
  m_metrics->Count("bramleybank_copy_claims_total");
  if (cursor.copy_holder == m_self) {
    callback(ToSnapshot(m_store.Claim(claim), m_self));
    return;
  }
  m_client->Call(
      cursor.copy_holder, kPathCopyClaim, EncodePeerMessage(claim),
      kClaimTimeout,
      [holder = cursor.copy_holder,
       callback = std::move(callback)](const PeerReply& reply) {
        const auto claimed = reply.status == PeerStatus::kOk
                                 ? DecodePeerMessage<CopyClaimReply>(reply.body)
                                 : std::nullopt;
        if (!claimed || claimed->status == CopyClaimStatus::kRequestMismatch) {
          callback(std::nullopt);
          return;
        }
        callback(ToSnapshot(*claimed, holder));
      });
}

void StreamCopyLink::ReleaseOwner(
    const StreamCursor& cursor,
    StreamRecoveryHooks::SnapshotCallback callback) {
  const StreamRelease release{.generation = cursor.generation,
                              .request_hash = cursor.request_hash,
                              .attempt = cursor.attempt + 1,
                              .claimant = m_self};
  m_client->Call(
      cursor.owner, kPathStreamRelease, EncodePeerMessage(release),
      kClaimTimeout, [callback = std::move(callback)](const PeerReply& reply) {
        const auto released =
            reply.status == PeerStatus::kOk
                ? DecodePeerMessage<StreamReleaseReply>(reply.body)
                : std::nullopt;
        if (!released || !released->found) {
          callback(std::nullopt);
          return;
        }
        callback(StreamSnapshot{.attempt = released->attempt + 1,
                                .version = released->identity.version,
                                .adapter = released->identity.adapter,
                                .engine = released->identity.engine,
                                .copy_holder = {},
                                .tokens = released->tokens});
      });
}

bool StreamCopyLink::Handle(const std::string& path,
                            std::string_view body,
                            const PeerServer::ReplyFn& reply) {
  if (path == kPathCopyAppend) {
    HandleAppend(body, reply);
  } else if (path == kPathCopyClaim) {
    HandleClaim(body, reply);
  } else if (path == kPathStreamRelease) {
    HandleRelease(body, reply);
  } else {
    return false;
  }
  return true;
}

void StreamCopyLink::HandleAppend(std::string_view body,
                                  const PeerServer::ReplyFn& reply) {
  const auto batch = DecodePeerMessage<CopyAppend>(body);
  if (!batch) {
    reply(kHttpBadRequest, {});
    return;
  }
  reply(kHttpOk, EncodePeerMessage(m_store.Append(*batch)));
}

void StreamCopyLink::HandleClaim(std::string_view body,
                                 const PeerServer::ReplyFn& reply) {
  const auto claim = DecodePeerMessage<CopyClaim>(body);
  if (!claim) {
    reply(kHttpBadRequest, {});
    return;
  }
  reply(kHttpOk, EncodePeerMessage(m_store.Claim(*claim)));
}

void StreamCopyLink::HandleRelease(std::string_view body,
                                   const PeerServer::ReplyFn& reply) {
  const auto release = DecodePeerMessage<StreamRelease>(body);
  if (!release) {
    reply(kHttpBadRequest, {});
    return;
  }
  StreamReleaseReply answer;
  if (const auto snapshot = m_hooks.release(release->generation)) {
    answer.found = true;
    answer.attempt = snapshot->attempt - 1;
    answer.identity.version = snapshot->version;
    answer.identity.adapter = snapshot->adapter;
    answer.identity.engine = snapshot->engine;
    answer.tokens = snapshot->tokens;
  }
  reply(kHttpOk, EncodePeerMessage(answer));
}

void StreamCopyLink::OnPeerLost(const std::string& peer) {
  m_sender->OnHolderLost(peer);
}

void StreamCopyLink::UpdateGauges() {
  m_metrics->SetGauge("bramleybank_copies_held",
                      static_cast<double>(m_store.size()));
  m_metrics->SetGauge("bramleybank_copies_held_bytes",
                      static_cast<double>(m_store.bytes()));
  m_metrics->SetGauge("bramleybank_copies_sent_open",
                      static_cast<double>(m_sender->open_streams()));
  m_metrics->SetGauge("bramleybank_copy_appends_stale",
                      static_cast<double>(m_store.stale_refusals()));
}

}  // namespace bramleybank
