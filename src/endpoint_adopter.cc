// Probes the address of an engine before its new id is adopted.
#include "endpoint_adopter.h"

#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
#include "engine_call.h"
#include "event_loop.h"
#include "gateway_codec.h"
#include "gateway_config.h"
#include "log_event.h"

namespace bramleybank {

EndpointAdopter::EndpointAdopter(
    EventLoop* loop,
    const GatewayCodec* codec,
    EndpointDirectory* directory,
    std::function<std::shared_ptr<const GatewayConfig>()> config)
    : m_loop(loop),
      m_codec(codec),
      m_directory(directory),
      m_config(std::move(config)) {}

EndpointAdopter::~EndpointAdopter() = default;

bool EndpointAdopter::IsOnlyEngineService(const std::string& service) const {
  const auto config = m_config();
  const GatewayService* found = config ? config->FindService(service) : nullptr;
  if (found == nullptr || !found->engine) {
    return false;
  }
  size_t engine_services = 0;
  for (const GatewayService& other : config->values().services) {
    engine_services += other.engine ? 1 : 0;
  }
  return engine_services == 1;
}

void EndpointAdopter::OnMisdirected(const EndpointEntry& entry,
                                    const std::string& new_id) {
  if (new_id.empty() || new_id == entry.id || !m_directory->is_store_lost() ||
      m_directory->Find(new_id) != nullptr ||
      m_probes.contains(entry.address) || !IsOnlyEngineService(entry.service)) {
    return;
  }
  EndpointEntry restarted = entry;
  restarted.id = new_id;
  m_probes.emplace(
      entry.address,
      std::make_unique<EngineCall>(
          m_loop, entry.address, m_codec->encode_report_request(),
          kEngineReplyTimeout, [this, restarted](const EngineReply& reply) {
            OnReply(restarted, reply);
          }));
}

void EndpointAdopter::OnReply(const EndpointEntry& entry,
                              const EngineReply& reply) {
  const bool adopted = reply.is_complete() &&
                       m_codec->decode_report(reply.body) &&
                       m_directory->is_store_lost();
  LogLine(LogEventId::kEndpointAdopted)
      .Field("endpoint", entry.id)
      .Field("address", entry.address)
      .Field("adopted", adopted ? 1 : 0);
  if (adopted) {
    m_directory->Adopt(entry);
  }
  m_probes.erase(entry.address);
}

}  // namespace bramleybank
