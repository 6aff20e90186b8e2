// What a gateway does when rows of the store or the list of gateways change.
#include "gateway_p.h"

#include "log_event.h"

namespace bramleybank {

void Gateway::Impl::OnOperatorRow(const StoreRow& row) {
  if (row.key.starts_with(rows.rollout_key_prefix)) {
    OnRolloutRow(row);
    return;
  }
  if (row.key != rows.config_key || row.deleted) {
    return;
  }
  if (!config && row.version.era > 0) {
    catch_up.OnFirstConfig();
  }
  OnConfig(row);
}

void Gateway::Impl::OnConfig(const StoreRow& row) {
  auto values = rows.decode_config(row.value);
  if (!values) {
    LogLine(LogEventId::kConfigRefused)
        .Field("row_version", static_cast<long long>(row.version.number));
    return;
  }
  if (config && values->version <= config->version()) {
    if (values->version < config->version()) {
      LogLine(LogEventId::kConfigOutdated)
          .Field("config", static_cast<long long>(values->version))
          .Field("in_force", static_cast<long long>(config->version()))
          .Field("row_version", static_cast<long long>(row.version.number))
          .Field("era", static_cast<long long>(row.version.era));
    }
    return;
  }
  config = std::make_shared<const GatewayConfig>(std::move(*values));
  directory.SetServices(config->ServiceNames());
  config_value = row.value;
  LogLine(LogEventId::kConfigInForce)
      .Field("config", static_cast<long long>(config->version()))
      .Field("row_version", static_cast<long long>(row.version.number))
      .Field("era", static_cast<long long>(row.version.era))
      .Field("routes", static_cast<long long>(config->values().routes.size()));
  StartWaitingIfReady();
}

void Gateway::Impl::StartWaitingIfReady() {
  if (IsReady()) {
    start_waiters.StartAll();
  }
}

void Gateway::Impl::OnRolloutRow(const StoreRow& row) {
  const std::string service = row.key.substr(rows.rollout_key_prefix.size());
  const auto order = row.deleted ? std::nullopt : rows.decode_rollout(row);
  if (order && order->service == service) {
    rollouts.OnOrder(*order);
    return;
  }
  rollouts.OnOrderRemoved(service, row.version);
  if (!row.deleted) {
    LogLine(LogEventId::kRolloutRefused)
        .Field("service", service)
        .Field("row_version", static_cast<long long>(row.version.number));
  }
}

void Gateway::Impl::OnEndpointRow(const StoreRow& row) {
  if (row.deleted) {
    directory.Remove(row.key);
    LogLine(LogEventId::kEndpointGone)
        .Field("endpoint", row.key)
        .Field("row_version", static_cast<long long>(row.version.number));
    return;
  }
  const auto entry = rows.decode_endpoint(row.key, row.value);
  if (!entry) {
    directory.Remove(row.key);
    LogLine(LogEventId::kEntryUnreadable)
        .Field("endpoint", row.key)
        .Field("row_version", static_cast<long long>(row.version.number));
    return;
  }
  const EndpointRecord* known = directory.Find(row.key);
  const bool changed =
      known == nullptr || known->removed_at || known->entry != *entry;
  directory.Update(*entry);
  // Not logged during the initial read: thousands of lines would delay the
  // first answers.
  if (changed && endpoints_read) {
    LogLine(LogEventId::kEndpointChanged)
        .Field("endpoint", row.key)
        .Field("address", entry->address)
        .Field("service", entry->service)
        .Field("draining", entry->state == EndpointState::kDraining ? 1 : 0)
        .Field("row_version", static_cast<long long>(row.version.number));
  }
}

void Gateway::Impl::OnPeersChanged() {
  relay.SetMembers(peers.members());
  if (settings.share_loads) {
    loads.SetMembers(peers.known_members());
  }
  const auto readers = static_cast<int64_t>(relay.reader_count());
  endpoint_watch->SetPause(
      relay.IsReader()
          ? std::clamp<Duration>(kEndpointReadPausePerReader * readers,
                                 kMinEndpointReadPause, kMaxEndpointReadPause)
          : kFollowerReadPause);
  operator_watch->SetPause(relay.IsReader() ? kConfigReadPause
                                            : kFollowerReadPause);
  quarantine.SetPause(relay.IsReader() ? kConfigReadPause : kFollowerReadPause);
  UpdateRetryBudget();
}

void Gateway::Impl::UpdateRetryBudget() {
  budget.SetExtra(settings.retry_extra /
                  static_cast<double>(peers.budget_divisor()));
}

Duration Gateway::Impl::RolloutPollInterval() const {
  const auto spread = static_cast<uint64_t>(kRolloutPollJitter.count());
  return std::max<Duration>(kMinRolloutPollInterval,
                            kRolloutPollIntervalPerReader *
                                static_cast<int64_t>(relay.reader_count())) +
         Duration(static_cast<int64_t>(random() % spread));
}

Duration Gateway::Impl::PromptInterval() const {
  if (!relay.IsReader()) {
    return kPromptHandOverInterval;
  }
  return std::max<Duration>(kPromptWriteInterval,
                            kPromptWriteIntervalPerReader *
                                static_cast<int64_t>(relay.reader_count()));
}

}  // namespace bramleybank
