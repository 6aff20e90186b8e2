// A gateway's part in passing on what stands in the metadata store: its peer
// port, its calls to other gateways, and the store as seen through them.
#ifndef BRAMLEYBANK_SRC_GATEWAY_RELAY_H_
#define BRAMLEYBANK_SRC_GATEWAY_RELAY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/result_code.h"
#include "gateway_member.h"
#include "hooks.h"
#include "relay_choice.h"
#include "relay_message.h"
#include "relayed_store.h"

namespace bramleybank {

class EventLoop;
class MetricRegistry;
class PeerClient;
class PeerServer;

/// Peer port and relayed store of one gateway.
class GatewayRelay {
 public:
  struct Hooks {
    /// A gateway that is not listed has sent a message.
    std::function<void()> on_unknown_sender;
    /// Evidence on a rollout has been handed over. @returns whether it was
    /// taken.
    std::function<bool(const RelayEvidence& evidence)> on_evidence;
    RandomHook random;
  };

  /// @param store, metrics outlive this object.
  /// @param news_bound time within which every gateway must know what has been
  /// written to the store.
  GatewayRelay(EventLoop* loop,
               MetadataStore* store,
               MetricRegistry* metrics,
               const GatewayMember& self,
               const RelayedStore::Tables& tables,
               Duration news_bound,
               Hooks hooks);
  ~GatewayRelay();
  GatewayRelay(const GatewayRelay&) = delete;
  GatewayRelay& operator=(const GatewayRelay&) = delete;

  /// Opens the peer port, if there is an address for it.
  /// @returns false with last_reason() set when it cannot be opened.
  bool Start();

  /// The store, to be read through relays.
  MetadataStore* store() { return &m_store; }

  void SetMembers(const std::vector<GatewayMember>& members);
  /// @returns whether this gateway reads the store itself.
  bool IsReader() const { return m_choice.IsReader(); }
  size_t reader_count() const { return m_choice.reader_count(); }

  /// Hands evidence to a relay of this domain.
  /// @param callback gets whether it was taken; a relay whose answer was lost
  /// may have taken it.
  void HandOver(RelayEvidence evidence, std::function<void(bool)> callback);

  const Reason& last_reason() const { return m_last_reason; }

 private:
  void Call(const std::string& address,
            const std::string& path,
            std::string body,
            Duration timeout,
            const std::function<void(const std::string* body)>& callback);
  void OnRequest(const std::string& path,
                 std::string_view body,
                 std::function<void(int status, std::string body)> reply);
  int TakeEvidence(std::string_view body);

  MetricRegistry* m_metrics;
  const GatewayMember m_self;
  const Hooks m_hooks;
  RelayChoice m_choice;
  std::unique_ptr<PeerClient> m_client;
  std::unique_ptr<PeerServer> m_server;
  RelayedStore m_store;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_RELAY_H_
