// A gateway's part in relaying rows of the metadata store: its peer port, its
// calls to other gateways, and the store as seen through relays.
#ifndef BRAMLEYBANK_SRC_GATEWAY_RELAY_H_
#define BRAMLEYBANK_SRC_GATEWAY_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/result_code.h"
#include "engine_load.h"
#include "gateway_member.h"
#include "gateway_settings.h"
#include "hooks.h"
#include "relay_message.h"
#include "relay_selector.h"
#include "relayed_store.h"

namespace bramleybank {

class EventLoop;
class MemoryBudget;
class MetricRegistry;
class PeerClient;
class PeerServer;
struct LoadMessage;

/// Peer port and relayed store of one gateway.
class GatewayRelay {
 public:
  struct Hooks {
    /// A gateway that is not listed has sent a message.
    std::function<void()> on_unknown_sender;
    /// Another gateway has sent evidence on a rollout. @returns whether it was
    /// accepted.
    std::function<bool(const RelayEvidence& evidence)> on_evidence;
    /// Another gateway has sent the prompts of its streams, encoded as a row.
    std::function<void(std::string_view row)> on_prompts;
    /// Another gateway asks which engine has prefilled a prompt.
    std::function<void(uint64_t prompt,
                       std::function<void(const std::string& id)> callback)>
        on_prompt_query;
    /// Another gateway asks for permits of an endpoint.
    std::function<PermitAnswer(const PermitQuery& query)> on_permit_query;
    /// Another gateway asks for a configuration that is newer than
    /// `known_version`. @returns it as the operator wrote it, or empty.
    std::function<std::string(uint64_t known_version)> on_config_query;
    /// Another gateway has sent loads of engines. @returns the answer; empty if
    /// the sender is not known. Null when loads are not shared.
    std::function<std::optional<LoadReport>(const LoadMessage& message)>
        on_loads;
    RandomHook random;
    /// Budget for received messages; null for no limit.
    MemoryBudget* memory = nullptr;
    MemorySettings limits;
  };

  /// @param store, metrics outlive this object.
  /// @param propagation_bound time within which every gateway must have
  /// received a change of the store.
  GatewayRelay(EventLoop* loop,
               MetadataStore* store,
               MetricRegistry* metrics,
               const GatewayMember& self,
               const RelayedStore::Tables& tables,
               Duration propagation_bound,
               Hooks hooks);
  ~GatewayRelay();
  GatewayRelay(const GatewayRelay&) = delete;
  GatewayRelay& operator=(const GatewayRelay&) = delete;

  /// Opens the peer port, if an address is configured.
  /// @returns false with last_reason() set when it cannot be opened.
  bool Start();

  /// The store, read through relays.
  MetadataStore* store() { return &m_store; }

  void SetMembers(const std::vector<GatewayMember>& members);
  /// @returns whether this gateway reads the store itself.
  bool IsReader() const { return m_choice.IsReader(); }
  size_t reader_count() const { return m_choice.reader_count(); }

  /// Sends evidence to a relay of this failure domain.
  /// @param callback gets whether it was accepted. A relay may have accepted it
  /// although its answer was lost.
  void ForwardEvidence(RelayEvidence evidence,
                       std::function<void(bool)> callback);

  /// Sends prompts of this gateway's streams to a relay of this failure domain.
  /// @param callback gets whether they were accepted.
  void ForwardPrompts(std::string row, std::function<void(bool)> callback);
  /// Asks a relay of this failure domain which engine has prefilled a prompt.
  /// @param callback gets the engine's id; empty when none is known.
  void QueryPrompt(uint64_t prompt,
                   std::function<void(const std::string& id)> callback);

  /// Asks another gateway for permits of an endpoint.
  /// @param callback gets nothing without an answer.
  void QueryPermits(const GatewayMember& issuer,
                    const PermitQuery& query,
                    std::function<void(std::optional<PermitAnswer>)> callback);

  /// Asks another gateway for a configuration that is newer than
  /// `known_version`.
  /// @param callback gets an empty text when it has none; nothing without an
  /// answer or when it does not know this gateway.
  void QueryConfig(
      const GatewayMember& member,
      uint64_t known_version,
      std::function<void(const std::optional<std::string>&)> callback);

  /// Sends loads of engines to another gateway.
  /// @param callback gets nothing without an answer.
  void SendLoads(
      const GatewayMember& to,
      const LoadMessage& message,
      Duration timeout,
      std::function<void(const std::optional<LoadReport>&)> callback);

  /// Requests on the peer port that were refused because of a limit.
  uint64_t refused_requests() const;
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
  int HandleEvidence(std::string_view body);
  int HandlePrompts(std::string_view body);
  void HandlePromptQuery(
      std::string_view body,
      const std::function<void(int status, std::string body)>& reply);
  std::string HandlePermitQuery(std::string_view body, int* status);
  std::string HandleConfigQuery(std::string_view body, int* status);
  std::string HandleLoads(std::string_view body, int* status);
  /// @returns the message if it can be decoded and its sender is a known
  /// gateway.
  /// @param status set to the HTTP status of the reply.
  template <typename Message>
  std::optional<Message> DecodeFromMember(std::string_view body, int* status);
  /// Sends a message to the preferred relay. Without a relay the callback is
  /// called immediately with null.
  template <typename Message>
  void SendToRelay(
      const char* path,
      Message message,
      Duration timeout,
      const std::function<void(const std::string* body)>& callback);

  MetricRegistry* m_metrics;
  const GatewayMember m_self;
  const Hooks m_hooks;
  RelaySelector m_choice;
  std::unique_ptr<PeerClient> m_client;
  std::unique_ptr<PeerServer> m_server;
  RelayedStore m_store;
  // Senders whose loads were refused, as far as they are logged.
  std::set<std::string, std::less<>> m_refused_load_senders;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_RELAY_H_
