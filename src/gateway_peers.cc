// Heartbeat rows. Liveness follows from versions that change, not from clocks.
#include "gateway_peers.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"

namespace bramleybank {
namespace {

constexpr char kTable[] = "gateways";
// Rows unchanged for so many reads belong to gateways that are gone.
constexpr int kMaxUnchangedReads = 3;

}  // namespace

GatewayPeers::GatewayPeers(EventLoop* loop,
                           MetadataStore* store,
                           std::string name,
                           std::string failure_domain,
                           RandomHook random)
    : m_loop(loop),
      m_store(store),
      m_name(std::move(name)),
      m_failure_domain(std::move(failure_domain)),
      m_random(std::move(random)),
      m_alive(std::make_shared<GatewayPeers*>(this)) {}

GatewayPeers::~GatewayPeers() {
  m_loop->Cancel(m_timer);
}

void GatewayPeers::SetChangeHandler(std::function<void()> handler) {
  m_on_change = std::move(handler);
}

void GatewayPeers::Start() {
  Beat();
}

void GatewayPeers::Beat() {
  m_store->Write({.table = kTable,
                  .key = m_name,
                  .value = m_failure_domain,
                  .expected_version = std::nullopt},
                 [](StoreResult) {});
  // The first read waits until gateways that start together have written.
  const Duration delay = m_is_known ? Duration{0} : kFirstPeerReadDelay;
  m_timer = m_loop->Schedule(delay, [this] { ReadRows(); });
}

Duration GatewayPeers::Interval() const {
  const auto peers = static_cast<int64_t>(count());
  return std::max<Duration>(kMinPeerBeatInterval,
                            kPeerBeatIntervalPerPeer * peers);
}

void GatewayPeers::ReadRows() {
  m_store->Read(kTable, "",
                [weak = std::weak_ptr(m_alive)](const StoreRows& rows) {
                  if (const auto self = weak.lock()) {
                    (*self)->OnRows(rows);
                  }
                });
  const auto spread = static_cast<uint64_t>(kPeerBeatJitter.count());
  const Duration jitter(static_cast<int64_t>(m_random() % spread));
  m_timer = m_loop->Schedule(Interval() + jitter, [this] { Beat(); });
}

void GatewayPeers::OnRows(const StoreRows& rows) {
  if (rows.result != StoreResult::kOk) {
    return;
  }
  std::map<std::string, Peer> peers;
  for (const StoreRow& row : rows.rows) {
    Peer peer{.version = row.version};
    const auto known = m_peers.find(row.key);
    if (known != m_peers.end() && known->second.version == row.version) {
      peer.unchanged_reads = known->second.unchanged_reads + 1;
    }
    peers.emplace(row.key, peer);
  }
  m_peers = std::move(peers);
  m_is_known = true;
  if (m_on_change) {
    m_on_change();
  }
}

size_t GatewayPeers::count() const {
  const auto others = std::ranges::count_if(m_peers, [this](const auto& item) {
    return item.first != m_name &&
           item.second.unchanged_reads < kMaxUnchangedReads;
  });
  return static_cast<size_t>(others) + 1;
}

size_t GatewayPeers::budget_shares() const {
  return m_is_known ? count() : kUnknownPeerCount;
}

}  // namespace bramleybank
