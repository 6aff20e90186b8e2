// Learns of endpoints that came back under a new id while the store is away.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_ADOPTER_H_
#define BRAMLEYBANK_SRC_ENDPOINT_ADOPTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "endpoint_entry.h"
#include "gateway_attempt.h"
#include "hooks.h"

namespace bramleybank {

class EndpointDirectory;
class EventLoop;
class GatewayConfig;
struct GatewayCodec;

/// An engine that restarts gets a new id, which only its entry in the store
/// tells. During an outage of the store the engine would be lost until the end
/// of the outage. A refusal names the id that has the address now; it is taken
/// over when an engine answers there and all engines are of one service, so
/// that the address cannot have gone to another.
class EndpointAdopter {
 public:
  EndpointAdopter(EventLoop* loop,
                  const GatewayCodec* codec,
                  EndpointDirectory* directory,
                  std::function<std::shared_ptr<const GatewayConfig>()> config);
  ~EndpointAdopter();
  EndpointAdopter(const EndpointAdopter&) = delete;
  EndpointAdopter& operator=(const EndpointAdopter&) = delete;

  /// The endpoint at the address of `entry` is `new_id` by its own word.
  void OnMisdirected(const EndpointEntry& entry, const std::string& new_id);

 private:
  struct Probe {
    EndpointEntry entry;
    std::string body;
    std::unique_ptr<GatewayAttempt> attempt;
  };

  bool HasOnlyEngines(const std::string& service) const;
  void OnProbeEnd(const std::string& address, AttemptEnd end);

  EventLoop* m_loop;
  const GatewayCodec* m_codec;
  EndpointDirectory* m_directory;
  const std::function<std::shared_ptr<const GatewayConfig>()> m_config;
  // By address; one probe at a time each.
  std::map<std::string, std::shared_ptr<Probe>> m_probes;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_ADOPTER_H_
