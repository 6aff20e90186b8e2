// Heartbeat rows. A gateway is alive while the version of its row changes; no
// clocks are compared.
#include "gateway_peers.h"

#include <algorithm>
#include <functional>
#include <sstream>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"
#include "tcp_address.h"

namespace bramleybank {
namespace {

constexpr char kTable[] = "gateways";
// A gateway whose row is unchanged for this many reads is taken to be dead.
constexpr int kMaxUnchangedReads = 3;

/// The value of a row: the failure domain and the peer address, if there is
/// one.
std::string EncodeMember(const GatewayMember& member) {
  return member.failure_domain + " " + member.peer_address;
}

GatewayMember DecodeMember(const StoreRow& row) {
  GatewayMember member{.name = row.key};
  std::istringstream words(row.value);
  words >> member.failure_domain >> member.peer_address;
  const auto address = SplitTcpAddress(member.peer_address);
  if (!address || address->port == 0) {
    member.peer_address.clear();
  }
  return member;
}

}  // namespace

GatewayPeers::GatewayPeers(EventLoop* loop,
                           MetadataStore* store,
                           GatewayMember self,
                           RandomHook random)
    : m_loop(loop),
      m_store(store),
      m_self(std::move(self)),
      m_random(std::move(random)),
      m_alive(std::make_shared<GatewayPeers*>(this)) {}

GatewayPeers::~GatewayPeers() {
  m_loop->Cancel(m_timer);
  m_loop->Cancel(m_restore_timer);
}

void GatewayPeers::SetChangeHandler(std::function<void()> handler) {
  m_on_change = std::move(handler);
}

void GatewayPeers::Start() {
  SendHeartbeat();
}

void GatewayPeers::WriteRow(MetadataStore::WriteCallback callback) {
  m_store->Write({.table = kTable,
                  .key = m_self.name,
                  .value = EncodeMember(m_self),
                  .expected_version = std::nullopt},
                 std::move(callback));
}

void GatewayPeers::OnStoreRestored() {
  if (m_restore_timer.is_valid()) {
    return;
  }
  m_restore_timer =
      m_loop->Schedule(Spread(kPeerRestoreSpread, m_random), [this] {
        m_restore_timer = TimerHandle();
        WriteRow([weak = std::weak_ptr(m_alive)](StoreResult result) {
          const auto self = weak.lock();
          if (self && result != StoreResult::kOk) {
            (*self)->OnStoreRestored();
          }
        });
      });
}

void GatewayPeers::SendHeartbeat() {
  WriteRow([](StoreResult) {});
  // The first read is delayed so that gateways that start at the same time have
  // written their rows.
  const Duration delay = m_has_list ? Duration{0} : kFirstPeerReadDelay;
  m_timer = m_loop->Schedule(delay, [this] {
    ReadRows(/*is_heartbeat=*/true);
    ScheduleHeartbeat();
  });
}

Duration GatewayPeers::HeartbeatInterval() const {
  const auto peers = static_cast<int64_t>(count());
  return std::max<Duration>(kMinPeerHeartbeatInterval,
                            kPeerHeartbeatIntervalPerPeer * peers);
}

void GatewayPeers::OnUnknownSender() {
  if (m_loop->Now() - m_last_read >= kUnknownSenderReadInterval) {
    ReadRows(/*is_heartbeat=*/false);
  }
}

void GatewayPeers::ReadRows(bool is_heartbeat) {
  m_last_read = m_loop->Now();
  m_store->Read(
      kTable, "",
      [weak = std::weak_ptr(m_alive), is_heartbeat](const StoreRows& rows) {
        if (const auto self = weak.lock()) {
          (*self)->OnRows(rows, is_heartbeat);
        }
      });
}

void GatewayPeers::ScheduleHeartbeat() {
  const auto spread = static_cast<uint64_t>(kPeerHeartbeatJitter.count());
  const Duration jitter(static_cast<int64_t>(m_random() % spread));
  m_timer = m_loop->Schedule(HeartbeatInterval() + jitter,
                             [this] { SendHeartbeat(); });
}

void GatewayPeers::OnRows(const StoreRows& rows, bool is_heartbeat) {
  if (rows.result != StoreResult::kOk) {
    return;
  }
  const bool is_restored = m_has_list && rows.version.era != m_era;
  m_era = rows.version.era;
  std::map<std::string, Peer> peers;
  for (const StoreRow& row : rows.rows) {
    const auto known = m_peers.find(row.key);
    peers.emplace(row.key, known == m_peers.end()
                               ? Peer{.member = DecodeMember(row),
                                      .version = row.version,
                                      .highest_number = row.version.number}
                               : UpdatePeer(known->second, row,
                                            is_heartbeat && !is_restored));
  }
  KeepLostPeers(is_restored, is_heartbeat, &peers);
  m_peers = std::move(peers);
  m_has_list = true;
  if (is_restored && IsOwnRowLost(rows)) {
    OnStoreRestored();
  }
  if (m_on_change) {
    m_on_change();
  }
}

bool GatewayPeers::IsOwnRowLost(const StoreRows& rows) const {
  return !rows.has_more && std::ranges::find(rows.rows, m_self.name,
                                             &StoreRow::key) == rows.rows.end();
}

bool GatewayPeers::IsHeartbeat(const Peer& known, const StoreRow& row) {
  if (known.is_row_lost) {
    return true;
  }
  return row.version.era == known.version.era
             ? row.version != known.version
             : row.version.number > known.highest_number;
}

GatewayPeers::Peer GatewayPeers::UpdatePeer(const Peer& known,
                                            const StoreRow& row,
                                            bool is_counted) const {
  Peer peer{
      .member = DecodeMember(row),
      .version = row.version,
      .highest_number = std::max(known.highest_number, row.version.number)};
  if (!IsHeartbeat(known, row)) {
    peer.unchanged_reads = known.unchanged_reads + (is_counted ? 1 : 0);
  }
  return peer;
}

void GatewayPeers::KeepLostPeers(bool is_restored,
                                 bool is_heartbeat,
                                 std::map<std::string, Peer>* peers) const {
  for (const auto& [name, known] : m_peers) {
    if (!is_restored && !known.is_row_lost) {
      continue;
    }
    Peer peer = known;
    peer.is_row_lost = true;
    peer.unchanged_reads += is_heartbeat && !is_restored ? 1 : 0;
    if (IsAlive(peer)) {
      peers->try_emplace(name, peer);
    }
  }
}

size_t GatewayPeers::count() const {
  return members().size();
}

bool GatewayPeers::IsAlive(const Peer& peer) const {
  return peer.member.name != m_self.name &&
         peer.unchanged_reads < kMaxUnchangedReads;
}

std::vector<GatewayMember> GatewayPeers::members() const {
  std::vector<GatewayMember> members = {m_self};
  for (const auto& [name, peer] : m_peers) {
    if (IsAlive(peer)) {
      members.push_back(peer.member);
    }
  }
  return members;
}

std::vector<GatewayMember> GatewayPeers::known_members() const {
  return m_has_list ? members() : std::vector<GatewayMember>{};
}

size_t GatewayPeers::budget_divisor() const {
  return m_has_list ? count() : kAssumedPeerCount;
}

std::vector<GatewayMember> GatewayPeers::OthersByVersion(
    const StoreRows& rows) const {
  std::vector<StoreRow> sorted = rows.rows;
  std::ranges::sort(sorted, std::greater(), &StoreRow::version);
  std::vector<GatewayMember> others;
  for (const StoreRow& row : sorted) {
    if (row.key != m_self.name) {
      others.push_back(DecodeMember(row));
    }
  }
  return others;
}

void GatewayPeers::FindOthers(
    size_t count,
    std::function<void(const std::vector<GatewayMember>&)> callback) {
  const auto take = [count](std::vector<GatewayMember> members) {
    std::erase_if(members, [](const GatewayMember& member) {
      return member.peer_address.empty();
    });
    members.resize(std::min(members.size(), count));
    return members;
  };
  if (m_has_list) {
    std::vector<GatewayMember> others = members();
    others.erase(others.begin());  // This gateway.
    for (size_t i = others.size(); i > 1; --i) {
      std::swap(others[i - 1], others[m_random() % i]);
    }
    callback(take(std::move(others)));
    return;
  }
  m_store->Read(kTable, "",
                [weak = std::weak_ptr(m_alive), take,
                 callback = std::move(callback)](const StoreRows& rows) {
                  if (const auto self = weak.lock()) {
                    callback(take((*self)->OthersByVersion(rows)));
                  }
                });
}

}  // namespace bramleybank
