// Keeps a gateway's requests within the rate limits that endpoints state.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_LIMITER_H_
#define BRAMLEYBANK_SRC_ENDPOINT_LIMITER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endpoint_permit.h"
#include "hooks.h"

namespace bramleybank {

class EndpointDirectory;
class MetricRegistry;
struct EndpointEntry;
struct EndpointRecord;

/// Holds the permits of this gateway. Every request to an endpoint with a rate
/// limit uses one, repeats and resumed streams too. Permits expire soon, so
/// that gateways do not save them up and use them all at once.
class EndpointLimiter {
 public:
  struct Hooks {
    ClockHook clock;
    /// Asks an issuer. The callback may run inside the call.
    std::function<void(const EndpointEntry& endpoint,
                       const PermitQuery& query,
                       std::function<void(const PermitAnswer&)> callback)>
        ask;
  };

  /// @param directory, metrics outlive this object.
  EndpointLimiter(EndpointDirectory* directory,
                  MetricRegistry* metrics,
                  Hooks hooks);

  /// @returns whether a request may be sent now: the endpoint has no limit, or
  /// this gateway holds a permit.
  bool MaySend(const EndpointRecord& record) const;
  /// @returns whether the endpoint has a limit for which a query may bring a
  /// permit now.
  bool MayAsk(const EndpointRecord& record) const;
  /// A request is sent to the endpoint; uses a permit if there is a limit.
  void OnSend(const EndpointRecord& record);
  /// Asks for one more permit. Queries of the same endpoint are combined.
  /// @param on_answer runs after the answer, outside this call or inside it;
  /// may be null.
  void Request(const EndpointRecord& record, std::function<void()> on_answer);
  /// The endpoint has ended its limit; tells the issuer, from which other
  /// gateways learn it.
  void OnLimitEnded(const EndpointRecord& record);
  /// @returns the time until a request to the service may succeed; empty while
  /// an endpoint may get one, or if none is in service.
  std::optional<Duration> RemainingWait(std::string_view service) const;

 private:
  struct Permits {
    uint32_t count = 0;
    TimePoint expire_at;
    // No query is sent before then.
    TimePoint ask_after;
    bool is_asking = false;
    // Requests that have asked since the last query was sent.
    uint32_t wanted = 0;
    std::vector<std::function<void()>> waiters;
  };

  const Permits* Find(const EndpointRecord& record) const;
  PermitQuery MakeQuery(const EndpointRecord& record, uint32_t wanted) const;
  void OnAnswer(const std::string& id,
                TimePoint asked_at,
                const PermitAnswer& answer);
  void EvictUnlimited();

  EndpointDirectory* m_directory;
  MetricRegistry* m_metrics;
  const Hooks m_hooks;
  // By endpoint id; only endpoints with a limit, some of them until later.
  std::map<std::string, Permits, std::less<>> m_permits;
  // Answers may arrive after this object is destroyed.
  std::shared_ptr<EndpointLimiter*> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_LIMITER_H_
