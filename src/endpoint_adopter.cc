// Probes the address of an engine before its new id is adopted.
#include "endpoint_adopter.h"

#include <utility>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
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

EndpointAdopter::~EndpointAdopter() {
  for (const auto& [address, probe] : m_probes) {
    m_loop->Cancel(probe->timer);
  }
}

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
  const auto probe = std::make_shared<Probe>();
  probe->entry = entry;
  probe->entry.id = new_id;
  m_probes.emplace(entry.address, probe);
  probe->attempt = std::make_unique<GatewayAttempt>(
      m_loop, entry.address, m_codec->encode_report_request(),
      /*is_head_request=*/false,
      AttemptCallbacks{
          .on_head = [](const Http1Head&) {},
          .on_body = [this, probe = probe.get()](
                         std::string_view data) { OnProbeBody(probe, data); },
          .on_end = [this, address = entry.address](
                        AttemptEnd end) { OnProbeEnd(address, end); }});
  probe->timer =
      m_loop->Schedule(kEngineReplyTimeout, [this, address = entry.address] {
        OnProbeEnd(address, AttemptEnd::kBroken);
      });
}

void EndpointAdopter::OnProbeBody(Probe* probe, std::string_view data) {
  if (probe->body.size() + data.size() > kMaxEngineReplyBytes) {
    OnProbeEnd(probe->entry.address, AttemptEnd::kBroken);
    return;
  }
  probe->body.append(data);
}

void EndpointAdopter::OnProbeEnd(const std::string& address, AttemptEnd end) {
  auto node = m_probes.extract(address);
  const std::shared_ptr<Probe> probe = node.mapped();
  m_loop->Cancel(probe->timer);
  probe->attempt->Cancel();
  // This runs inside a callback of the probe's attempt, so the attempt is freed
  // in a later turn of the loop.
  m_loop->Post([probe] {});
  const bool adopted = end == AttemptEnd::kComplete &&
                       m_codec->is_engine_report(probe->body) &&
                       m_directory->is_store_lost();
  LogLine(LogEventId::kEndpointAdopted)
      .Field("endpoint", probe->entry.id)
      .Field("address", address)
      .Field("adopted", adopted ? 1 : 0);
  if (adopted) {
    m_directory->Adopt(probe->entry);
  }
}

}  // namespace bramleybank
