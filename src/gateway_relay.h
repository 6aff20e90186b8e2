// A gateway's part in passing on what stands in the metadata store: its peer
// port, its calls to other gateways, and the store as seen through them.
#ifndef BRAMLEYBANK_SRC_GATEWAY_RELAY_H_
#define BRAMLEYBANK_SRC_GATEWAY_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
    /// Prompts of another gateway's streams have been handed over, as a row.
    std::function<void(std::string_view row)> on_prompts;
    /// Another gateway asks which engine has read a prompt.
    std::function<void(uint64_t prompt,
                       std::function<void(const std::string& id)> callback)>
        on_prompt_query;
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

  /// Hands prompts of this gateway's streams to a relay of this domain.
  /// @param callback gets whether they were taken.
  void HandOverPrompts(std::string row, std::function<void(bool)> callback);
  /// Asks a relay of this domain which engine has read a prompt.
  /// @param callback gets its id; empty when none is known.
  void AskForPrompt(uint64_t prompt,
                    std::function<void(const std::string& id)> callback);

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
  int TakePrompts(std::string_view body);
  void AnswerPromptQuery(
      std::string_view body,
      const std::function<void(int status, std::string body)>& reply);
  /// @returns the message if it can be read and a known gateway has sent it.
  /// @param status set to that of the reply.
  template <typename Message>
  std::optional<Message> Accept(std::string_view body, int* status);
  /// Sends a message to the best relay; without one the call fails at once.
  template <typename Message>
  void SendToRelay(
      const char* path,
      Message message,
      Duration timeout,
      const std::function<void(const std::string* body)>& callback);

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
