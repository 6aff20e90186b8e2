// Detects engines that restarted under a new id while the metadata store is
// unavailable.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_ADOPTER_H_
#define BRAMLEYBANK_SRC_ENDPOINT_ADOPTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "endpoint_entry.h"

namespace bramleybank {

class EndpointDirectory;
class EngineCall;
class EventLoop;
class GatewayConfig;
struct EngineReply;
struct GatewayCodec;

/// Adds restarted engines to the directory during an outage of the store. An
/// engine that restarts gets a new id, which is published only in its store
/// entry, so without the store it would be unknown until the outage ends. A
/// refusal (misdirected request) names the id that now has the address. That id
/// is adopted if an engine answers a probe there and all engines belong to one
/// service, so that the address cannot have passed to another service.
class EndpointAdopter {
 public:
  EndpointAdopter(EventLoop* loop,
                  const GatewayCodec* codec,
                  EndpointDirectory* directory,
                  std::function<std::shared_ptr<const GatewayConfig>()> config);
  ~EndpointAdopter();
  EndpointAdopter(const EndpointAdopter&) = delete;
  EndpointAdopter& operator=(const EndpointAdopter&) = delete;

  /// The endpoint at the address of `entry` has reported `new_id` as its id.
  void OnMisdirected(const EndpointEntry& entry, const std::string& new_id);

 private:
  /// @returns whether `service` is the only configured service of engines.
  bool IsOnlyEngineService(const std::string& service) const;
  void OnReply(const EndpointEntry& entry, const EngineReply& reply);

  EventLoop* m_loop;
  const GatewayCodec* m_codec;
  EndpointDirectory* m_directory;
  const std::function<std::shared_ptr<const GatewayConfig>()> m_config;
  // Probes in flight by address.
  std::map<std::string, std::unique_ptr<EngineCall>> m_probes;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_ADOPTER_H_
