// Connects membership, peer links, configuration and stream copies.
#include "daemon_cluster.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "bramleybank/limits.h"
#include "config_confirmations.h"
#include "config_log.h"
#include "config_sync.h"
#include "daemon_settings.h"
#include "event_loop.h"
#include "json_parse.h"
#include "member_protocol.h"
#include "member_report.h"
#include "member_udp.h"
#include "metric_registry.h"
#include "peer_client.h"
#include "peer_server.h"
#include "platform_config_source.h"
#include "platform_vm_list.h"

namespace bramleybank {
namespace {

using nlohmann::json;

constexpr char kPathConfigFetch[] = "/config/fetch";
constexpr Duration kConfigFetchTimeout = std::chrono::seconds(2);
constexpr Duration kConfigTickInterval = std::chrono::milliseconds(100);
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

uint64_t StartNumber() {
  // If the clock was set back, the membership protocol raises the number above
  // the one that other daemons remember for this address.
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

MemberOptions MakeMemberOptions(const DaemonSettings& settings) {
  return {
      .peer = settings.PeerAddress(),
      .start_number = StartNumber(),
      .region = settings.region,
      .failure_domain = settings.failure_domain,
      .cluster = XXH3_64bits(settings.cluster.data(), settings.cluster.size())};
}

}  // namespace

struct DaemonCluster::Impl {
  Impl(EventLoop* event_loop,
       HttpClient* client,
       PlatformTable* table,
       MetricRegistry* metric_registry,
       const DaemonSettings& daemon_settings,
       DaemonClusterHooks cluster_hooks)
      : loop(event_loop),
        metrics(metric_registry),
        settings(daemon_settings),
        hooks(std::move(cluster_hooks)),
        protocol(
            MakeMemberOptions(settings),
            [this] { return loop->Now(); },
            hooks.random),
        udp(loop, &protocol),
        vm_list(loop,
                client,
                settings.platform_url,
                hooks.random,
                [this](const auto& vms) { OnVmList(vms); }),
        peer_client(loop),
        peer_server(loop),
        copies(loop,
               &peer_client,
               metrics,
               settings.PeerAddress(),
               MakeCopyHooks()),
        config_source(client, settings.platform_url),
        config_sync(
            &config_log,
            MakeSyncHooks(),
            [this] { return loop->Now(); },
            hooks.random),
        publisher(
            &config_log,
            table,
            [this](const std::string& text, auto callback) {
              config_source.WriteSnapshot(text, std::move(callback));
            },
            [this] { config_sync.OnLogAdvanced(); }) {
    protocol.SetHooks(
        {.on_member = [this](const MemberInfo& member) { OnMember(member); },
         .on_notice = [this](const Notice& notice) { hooks.on_notice(notice); },
         .on_higher_config =
             [this](const std::string& peer, uint64_t number) {
               config_sync.OnHigherNumber(peer, number);
             }});
  }

  ~Impl() { loop->Cancel(config_timer); }

  bool Start() {
    const auto port =
        peer_server.Start(settings.ip, settings.peer_port,
                          [this](const std::string& path, std::string_view body,
                                 const PeerServer::ReplyFn& reply) {
                            OnPeerCall(path, body, reply);
                          });
    if (!port) {
      reason = peer_server.last_reason();
      return false;
    }
    if (!udp.Start(settings.ip, settings.peer_port)) {
      reason = udp.last_reason();
      return false;
    }
    copies.Start();
    vm_list.Start();
    TickConfig();
    return true;
  }

  // Membership.

  void OnVmList(const std::vector<VmEntry>& vms) {
    std::vector<std::string> seeds;
    seeds.reserve(vms.size());
    for (const VmEntry& vm : vms) {
      seeds.push_back(vm.peer);
    }
    protocol.SetSeeds(seeds);
    udp.Flush();
  }

  void OnMember(const MemberInfo& member) {
    LogMemberChange(member);
    if (!IsLive(member.state)) {
      copies.OnPeerLost(member.peer);
    }
    // This runs while the member table is changing, so the list is read in the
    // next turn of the event loop.
    if (!std::exchange(members_posted, true)) {
      loop->Post([this] {
        members_posted = false;
        hooks.on_members(LiveMembers());
      });
    }
  }

  std::vector<SubsetMember> LiveMembers() const {
    std::vector<SubsetMember> members;
    for (const MemberRow* row : protocol.table().Live()) {
      members.push_back({.id = row->info.peer,
                         .region = row->info.region,
                         .failure_domain = row->info.failure_domain});
    }
    return members;
  }

  // Copies of streams.

  StreamCopyLinkHooks MakeCopyHooks() {
    return {.candidates = [this] { return CopyCandidates(); },
            .random = hooks.random,
            .on_copied = hooks.on_copied,
            .on_unprotected = hooks.on_unprotected,
            .on_superseded = hooks.on_superseded,
            .release = hooks.release};
  }

  /// @returns the daemons that may hold copies: those in another failure domain
  /// of the same region, or if there are none, those in the same failure
  /// domain. Other regions are excluded because a link between regions costs
  /// 20 ms per token and is paid by volume.
  std::vector<std::string> CopyCandidates() const {
    std::vector<std::string> other_domain;
    std::vector<std::string> same_domain;
    for (const MemberRow* row : protocol.table().Live()) {
      const MemberInfo& info = row->info;
      const bool is_usable = info.state == MemberState::kAlive &&
                             info.peer != settings.PeerAddress() &&
                             info.region == settings.region;
      if (!is_usable) {
        continue;
      }
      (info.failure_domain == settings.failure_domain ? same_domain
                                                      : other_domain)
          .push_back(info.peer);
    }
    std::vector<std::string>& candidates =
        other_domain.empty() ? same_domain : other_domain;
    std::ranges::sort(candidates, {}, [this](const std::string& peer) {
      return HolderHash(peer);
    });
    return candidates;
  }

  /// Gives each owner a different order of holders, so that copies are spread
  /// over all daemons although each owner uses few holders.
  uint64_t HolderHash(const std::string& peer) const {
    const std::string text = settings.PeerAddress() + " " + peer;
    return XXH3_64bits(text.data(), text.size());
  }

  // Configuration.

  ConfigSyncHooks MakeSyncHooks() {
    ConfigSyncHooks sync;
    sync.scan_log = [this](uint64_t after, size_t limit, auto callback) {
      config_source.ScanLog(after, limit, std::move(callback));
    };
    sync.read_snapshot = [this](auto callback) {
      config_source.ReadSnapshot(std::move(callback));
    };
    sync.fetch_from_peer = [this](const std::string& peer, uint64_t from_number,
                                  auto callback) {
      FetchFromPeer(peer, from_number, std::move(callback));
    };
    sync.live_peers = [this] { return LivePeers(); };
    sync.on_config = [this](auto snapshot) { OnConfig(snapshot); };
    return sync;
  }

  std::vector<std::string> LivePeers() const {
    std::vector<std::string> peers;
    for (const MemberRow* row : protocol.table().Live()) {
      if (row->info.peer != settings.PeerAddress()) {
        peers.push_back(row->info.peer);
      }
    }
    return peers;
  }

  void FetchFromPeer(const std::string& peer,
                     uint64_t from_number,
                     ConfigSyncHooks::PeerCallback callback) {
    peer_client.Call(peer, kPathConfigFetch, std::to_string(from_number),
                     kConfigFetchTimeout,
                     [callback = std::move(callback)](const PeerReply& reply) {
                       Reason error;
                       callback(reply.status == PeerStatus::kOk
                                    ? ParseConfigAnswer(reply.body, &error)
                                    : std::nullopt);
                     });
  }

  void OnConfig(std::shared_ptr<const ConfigSnapshot> snapshot) {
    protocol.ConfirmConfig(snapshot->number);
    hooks.on_config(std::move(snapshot));
    udp.Flush();
  }

  void TickConfig() {
    config_sync.Tick();
    protocol.ReportTimerDelay(loop->TakeMaxTimerDelay());
    config_timer =
        loop->Schedule(kConfigTickInterval, [this] { TickConfig(); });
  }

  void OnPeerCall(const std::string& path,
                  std::string_view body,
                  const PeerServer::ReplyFn& reply) {
    if (path == kPathConfigFetch) {
      uint64_t from_number = 0;
      std::from_chars(body.data(), body.data() + body.size(), from_number);
      reply(kHttpOk, FormatConfigAnswer(config_sync.AnswerPeer(from_number)));
      return;
    }
    if (!copies.Handle(path, body, reply)) {
      reply(kHttpNotFound, {});
    }
  }

  /// @returns the failure domains that have no live member in the local table.
  std::vector<std::string> LostDomains() const {
    std::map<std::string, bool> live_by_domain;
    for (const auto& [peer, row] : protocol.table().rows()) {
      bool& is_live = live_by_domain[row.info.failure_domain];
      is_live = is_live || IsLive(row.info.state);
    }
    std::vector<std::string> lost;
    for (const auto& [domain, is_live] : live_by_domain) {
      if (!is_live) {
        lost.push_back(domain);
      }
    }
    return lost;
  }

  /// @returns whether other failure domains are known, but neither the platform
  /// nor a daemon in one of them can be reached.
  bool IsCutOff() const {
    const bool sees_others = std::ranges::any_of(
        protocol.table().Live(), [this](const MemberRow* row) {
          return row->info.failure_domain != settings.failure_domain;
        });
    return !sees_others && !LostDomains().empty() &&
           vm_list.consecutive_failures() > 0;
  }

  json Status() const {
    return {
        {"membership", ParseJson(FormatMemberStatus(protocol))},
        {"config_number", config_log.number()},
        {"config_ready", config_sync.is_ready()},
        {"cut_off", IsCutOff()},
        {"unreachable_domains", LostDomains()},
        {"vm_list_failures", vm_list.consecutive_failures()},
        {"platform_config_failures", config_sync.counters().platform_failures}};
  }

  EventLoop* loop;
  MetricRegistry* metrics;
  const DaemonSettings& settings;
  const DaemonClusterHooks hooks;
  Reason reason;
  MemberProtocol protocol;
  MemberUdp udp;
  PlatformVmList vm_list;
  PeerClient peer_client;
  PeerServer peer_server;
  StreamCopyLink copies;
  PlatformConfigSource config_source;
  ConfigLog config_log;
  ConfigSync config_sync;
  ConfigPublisher publisher;
  TimerHandle config_timer;
  bool members_posted = false;
};

DaemonCluster::DaemonCluster(EventLoop* loop,
                             HttpClient* client,
                             PlatformTable* table,
                             MetricRegistry* metrics,
                             const DaemonSettings& settings,
                             DaemonClusterHooks hooks)
    : m_impl(std::make_unique<Impl>(loop,
                                    client,
                                    table,
                                    metrics,
                                    settings,
                                    std::move(hooks))) {}

DaemonCluster::~DaemonCluster() = default;

bool DaemonCluster::Start() {
  return m_impl->Start();
}

void DaemonCluster::Leave() {
  m_impl->udp.LeaveAndStop();
}

void DaemonCluster::ConnectCopies(StreamEnvironment* environment) {
  m_impl->copies.Connect(environment);
}

StreamRecoveryHooks DaemonCluster::MakeRecoveryHooks() {
  StreamRecoveryHooks recovery;
  recovery.claim_copy = [impl = m_impl.get()](const StreamCursor& cursor,
                                              auto callback) {
    impl->copies.ClaimCopy(cursor, std::move(callback));
  };
  recovery.release_owner = [impl = m_impl.get()](const StreamCursor& cursor,
                                                 auto callback) {
    impl->copies.ReleaseOwner(cursor, std::move(callback));
  };
  return recovery;
}

void DaemonCluster::Publish(const ConfigChange& change,
                            ConfigPublisher::Callback callback) {
  m_impl->publisher.Publish(change, std::move(callback));
}

ConfigConfirmations DaemonCluster::Confirmations(uint64_t number) const {
  return CheckConfirmations(m_impl->protocol.table(), number);
}

void DaemonCluster::PublishLeaving(const std::string& address, bool leaving) {
  m_impl->protocol.Publish(NoticeKind::kEndpointLeaving, address, leaving);
  m_impl->udp.Flush();
}

std::string DaemonCluster::NotReadyReason() const {
  if (m_impl->config_sync.is_ready()) {
    return {};
  }
  return "no configuration: neither the platform nor a peer has answered";
}

std::string DaemonCluster::StatusJson() const {
  return DumpJson(m_impl->Status());
}

void DaemonCluster::UpdateGauges() {
  MetricRegistry* metrics = m_impl->metrics;
  const auto set = [metrics](const char* name, uint64_t value) {
    metrics->SetGauge(name, static_cast<double>(value));
  };
  SetMemberMetrics(m_impl->protocol, metrics);
  set("bramleybank_config_number", m_impl->config_log.number());
  set("bramleybank_peer_sent_bytes",
      m_impl->peer_client.bytes_sent() + m_impl->peer_server.bytes_sent());
  set("bramleybank_peer_connections",
      m_impl->peer_client.open_connections() +
          m_impl->peer_server.open_connections());
  m_impl->copies.UpdateGauges();
}

const Reason& DaemonCluster::last_reason() const {
  return m_impl->reason;
}

}  // namespace bramleybank
