// Asks engines for their reports while streams at them are silent.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_PROBER_H_
#define BRAMLEYBANK_SRC_ENDPOINT_PROBER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "endpoint_evidence.h"
#include "hooks.h"

namespace bramleybank {

class EngineCall;
class EventLoop;
class MetricRegistry;
struct EndpointEntry;
struct EngineReply;
struct GatewayCodec;

/// Sends probes over connections of their own, and keeps what is known from
/// them. A report needs no slot, so an engine that is full or busy sends one at
/// once, while one that is lost does not. There is at most one open probe of an
/// endpoint, whatever the number of its silent streams.
class EndpointProber {
 public:
  /// @param on_news called when a probe was answered, and when one has not been
  /// answered within kProbeTimeout.
  EndpointProber(EventLoop* loop,
                 const GatewayCodec* codec,
                 MetricRegistry* metrics,
                 std::function<void()> on_news);
  ~EndpointProber();
  EndpointProber(const EndpointProber&) = delete;
  EndpointProber& operator=(const EndpointProber&) = delete;

  /// Starts a probe unless the last one is open or recent, or its answer is
  /// still valid.
  /// @returns whether a probe has been started.
  bool Probe(const EndpointEntry& endpoint);
  /// The endpoint has sent an event or an answer.
  void OnSign(std::string_view endpoint_id);

  /// @returns what is known; valid until the next call of another method.
  const EndpointEvidence& Find(std::string_view endpoint_id) const;

 private:
  struct Endpoint;

  void OnReply(const std::string& id, const EngineReply& reply);
  void ScheduleNews(Duration delay);
  /// Removes what is known of endpoints that have not been probed for a while.
  void EvictIdle();

  EventLoop* m_loop;
  const GatewayCodec* m_codec;
  MetricRegistry* m_metrics;
  const std::function<void()> m_on_news;
  std::map<std::string, std::unique_ptr<Endpoint>, std::less<>> m_endpoints;
  TimePoint m_last_eviction;
  // Expires with this object.
  std::shared_ptr<bool> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_PROBER_H_
