// Tracks the state of endpoints. If several endpoints of one failure domain are
// lost within a short time, the whole domain becomes suspect, because domains
// fail as a whole.
#include "endpoint_directory.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

// Weight of the latest answer in the moving average of the failure share.
constexpr double kFailureWeight = 0.1;
// Each consecutive loss doubles the time for which an endpoint is suspect, up
// to a factor of 2^3.
constexpr int kMaxSuspicionDoublings = 3;

void Extend(std::optional<TimePoint>* until, TimePoint to) {
  *until = until->has_value() ? std::max(**until, to) : to;
}

/// @returns whether the start of `entry` is known to be the earlier one.
bool StartedBefore(const EndpointEntry& entry, const EndpointEntry& other) {
  return entry.start_time_ms > 0 && entry.start_time_ms < other.start_time_ms;
}

}  // namespace

EndpointDirectory::EndpointDirectory(ClockHook clock)
    : m_clock(std::move(clock)) {}

void EndpointDirectory::Update(const EndpointEntry& entry) {
  EvictRemoved();
  auto it = m_records.find(entry.id);
  if (it != m_records.end() && IsRestoreRecent() &&
      StartedBefore(entry, it->second.entry)) {
    // An earlier start of the endpoint, from the older copy of the store.
    return;
  }
  const bool is_new_incarnation =
      it != m_records.end() &&
      (it->second.entry.service != entry.service ||
       it->second.entry.address != entry.address ||
       it->second.entry.start_time_ms != entry.start_time_ms);
  if (is_new_incarnation) {
    // A new incarnation: observations of the old one no longer apply.
    const EndpointRecord old = std::move(it->second);
    std::erase(m_by_service[old.entry.service], &it->second);
    m_ids_by_key.erase(old.key);
    m_records.erase(it);
    it = m_records.end();
  }
  const bool is_new = it == m_records.end();
  if (is_new) {
    it = m_records.emplace(entry.id, EndpointRecord{}).first;
    m_by_service[entry.service].push_back(&it->second);
  }
  it->second.entry = entry;
  it->second.key = KeyOf(entry);
  m_ids_by_key[it->second.key] = entry.id;
  it->second.removed_at.reset();
  it->second.is_adopted = false;
  if (is_new) {
    it->second.arrival = ++m_arrivals;
    SupersedeOlderEntry(it->second);
  }
}

bool EndpointDirectory::IsNamed(const std::string& service) const {
  return !m_services || m_services->contains(service);
}

void EndpointDirectory::SetServices(
    std::set<std::string, std::less<>> services) {
  if (m_services == services) {
    return;
  }
  m_services = std::move(services);
  m_by_address.clear();
  std::vector<EndpointRecord*> records;
  for (auto& [id, record] : m_records) {
    record.is_superseded = false;
    if (!record.removed_at) {
      records.push_back(&record);
    }
  }
  std::ranges::sort(records, {}, &EndpointRecord::arrival);
  for (EndpointRecord* record : records) {
    SupersedeOlderEntry(*record);
  }
}

void EndpointDirectory::SupersedeOlderEntry(EndpointRecord& record) {
  if (!IsNamed(record.entry.service)) {
    return;
  }
  std::string& newest = m_by_address[record.entry.address];
  EndpointRecord* known = FindMutable(newest);
  const bool has_other = known != nullptr && known != &record &&
                         known->entry.address == record.entry.address;
  if (has_other && StartedBefore(record.entry, known->entry)) {
    // Entries need not arrive in the order in which their endpoints started.
    record.is_superseded = true;
    return;
  }
  if (has_other) {
    // The older entry remains until it expires, but its endpoint is gone.
    known->is_superseded = true;
  }
  newest = record.entry.id;
}

void EndpointDirectory::Adopt(const EndpointEntry& entry) {
  Update(entry);
  FindMutable(entry.id)->is_adopted = true;
}

void EndpointDirectory::SetStoreLost(bool lost) {
  if (m_store_lost && !lost) {
    m_store_returned_at = m_clock();
    HoldBackUntil(m_clock() + kRestoredEntryExpiry);
  } else if (lost) {
    // Whether an entry has expired is not known while the store is away.
    HoldBackUntil(TimePoint::max());
  }
  m_store_lost = lost;
}

void EndpointDirectory::OnStoreRestored() {
  const TimePoint now = m_clock();
  m_store_returned_at = now;
  m_restored_at = now;
  for (auto& [id, record] : m_records) {
    if (record.entry.state == EndpointState::kDraining) {
      record.is_leaving = true;
    }
    const bool has_left =
        record.removed_at && (!record.may_have_expired ||
                              now - *record.removed_at >= kExpiredEntryGrace);
    if (has_left || IsHeldBack(record)) {
      record.may_have_expired = false;
      record.held_back_until = now + kRestoredEntryExpiry;
    }
  }
}

void EndpointDirectory::Remove(std::string_view id) {
  EndpointRecord* record = FindMutable(id);
  if (record != nullptr && !record->removed_at) {
    record->removed_at = m_clock();
    record->may_have_expired = IsOutageRecent();
    if (IsNamed(record->entry.service)) {
      ReinstateAt(record->entry.address);
    }
  }
}

void EndpointDirectory::ReinstateAt(const std::string& address) {
  for (auto& [id, record] : m_records) {
    if (record.entry.address == address && !record.removed_at &&
        (record.is_misdirected || record.is_superseded) &&
        IsNamed(record.entry.service)) {
      record.is_misdirected = false;
      record.is_superseded = false;
      m_by_address[address] = id;
    }
  }
}

bool EndpointDirectory::IsRestoreRecent() const {
  return m_restored_at && m_clock() - *m_restored_at < kRestoredEntryExpiry;
}

bool EndpointDirectory::IsOutageRecent() const {
  return m_store_lost ||
         (m_store_returned_at &&
          m_clock() - *m_store_returned_at < kExpiredEntryGrace);
}

void EndpointDirectory::EvictRemoved() {
  const TimePoint now = m_clock();
  if (now - m_last_sweep < kRemovedEndpointSweepInterval) {
    return;
  }
  m_last_sweep = now;
  std::erase_if(m_records, [&](const auto& item) {
    const EndpointRecord& record = item.second;
    const Duration retention = record.rate_limit
                                   ? Duration(kRateLimitRetention)
                                   : Duration(kRemovedEndpointRetention);
    const bool is_expired =
        record.removed_at && now - *record.removed_at > retention &&
        record.open_attempts == 0 && record.open_backups == 0;
    if (is_expired) {
      std::erase(m_by_service[record.entry.service], &record);
      m_ids_by_key.erase(record.key);
    }
    return is_expired;
  });
}

EndpointRecord* EndpointDirectory::FindMutable(std::string_view id) {
  const auto it = m_records.find(id);
  return it == m_records.end() ? nullptr : &it->second;
}

const EndpointRecord* EndpointDirectory::Find(std::string_view id) const {
  const auto it = m_records.find(id);
  return it == m_records.end() ? nullptr : &it->second;
}

const std::vector<const EndpointRecord*>& EndpointDirectory::FindByService(
    std::string_view service) const {
  static const std::vector<const EndpointRecord*> none;
  const auto it = m_by_service.find(service);
  return it == m_by_service.end() ? none : it->second;
}

void EndpointDirectory::OnAttemptStarted(std::string_view id) {
  if (EndpointRecord* record = FindMutable(id)) {
    ++record->open_attempts;
  }
}

void EndpointDirectory::OnAttemptEnded(std::string_view id,
                                       EndpointOutcome outcome) {
  EndpointRecord* record = FindMutable(id);
  if (record == nullptr) {
    return;
  }
  record->open_attempts = std::max(0, record->open_attempts - 1);
  switch (outcome) {
    case EndpointOutcome::kAnswered:
      ForgetLosses(record);
      record->failure_share *= 1 - kFailureWeight;
      break;
    case EndpointOutcome::kFailed:
      record->failure_share += kFailureWeight * (1 - record->failure_share);
      break;
    case EndpointOutcome::kRefused:
      Extend(&record->suspect_until, m_clock() + kRefusedEndpointPause);
      break;
    case EndpointOutcome::kLost:
      RecordLoss(record);
      break;
    case EndpointOutcome::kMisdirected:
      record->is_misdirected = true;
      break;
    case EndpointOutcome::kCancelled:
      break;
  }
}

void EndpointDirectory::OnSilence(std::string_view id) {
  if (EndpointRecord* record = FindMutable(id)) {
    RecordLoss(record);
  }
}

void EndpointDirectory::OnSign(std::string_view id) {
  if (EndpointRecord* record = FindMutable(id)) {
    ForgetLosses(record);
  }
}

void EndpointDirectory::ForgetLosses(EndpointRecord* record) {
  record->consecutive_losses = 0;
  record->reported_losses = 0;
  record->suspect_until.reset();
}

void EndpointDirectory::OnReportedLoss(EngineKey key) {
  const auto id = m_ids_by_key.find(key);
  EndpointRecord* record =
      id == m_ids_by_key.end() ? nullptr : FindMutable(id->second);
  if (record == nullptr || IsSuspect(*record)) {
    return;
  }
  // The domain is not concluded to be lost: the gateway that has reported this
  // may itself be cut off from it.
  Suspect(record, record->reported_losses++);
}

void EndpointDirectory::Suspect(EndpointRecord* record, int earlier_losses) {
  const int doublings = std::min(earlier_losses, kMaxSuspicionDoublings);
  Extend(&record->suspect_until,
         m_clock() + kLostEndpointPause * (1 << doublings));
}

void EndpointDirectory::RecordLoss(EndpointRecord* record) {
  const TimePoint now = m_clock();
  Suspect(record, record->consecutive_losses++);
  DomainLosses& domain =
      m_domains[record->entry.service][record->entry.failure_domain];
  domain.lost_at.insert_or_assign(record->entry.id, now);
  std::erase_if(domain.lost_at, [&](const auto& item) {
    return now - item.second > kDomainLossWindow;
  });
  if (domain.lost_at.size() < kMinDomainLosses) {
    return;
  }
  Extend(&domain.suspect_until, now + kLostDomainPause);
  // Endpoints that were lost together restart with new ids. Their old entries
  // remain in the store until they expire.
  for (const auto& [id, lost_at] : domain.lost_at) {
    if (EndpointRecord* lost = FindMutable(id)) {
      Extend(&lost->suspect_until, lost_at + kCrashedEndpointPause);
    }
  }
}

bool EndpointDirectory::OnLeaving(std::string_view id) {
  EndpointRecord* record = FindMutable(id);
  return record != nullptr && !std::exchange(record->is_leaving, true);
}

void EndpointDirectory::OnPause(std::string_view id, Duration pause) {
  if (EndpointRecord* record = FindMutable(id)) {
    Extend(&record->paused_until, m_clock() + pause);
  }
}

bool EndpointDirectory::OnRateLimit(std::string_view id,
                                    double requests_per_second,
                                    TimePoint stated_at) {
  EndpointRecord* record = FindMutable(id);
  if (record == nullptr || stated_at < record->rate_limit_stated_at) {
    return false;
  }
  record->rate_limit_stated_at = stated_at;
  const auto previous = std::exchange(record->rate_limit, requests_per_second);
  return previous != record->rate_limit;
}

bool EndpointDirectory::OnNoRateLimit(std::string_view id, TimePoint sent_at) {
  EndpointRecord* record = FindMutable(id);
  if (record == nullptr || !record->rate_limit ||
      sent_at < record->rate_limit_stated_at) {
    return false;
  }
  record->rate_limit.reset();
  record->rate_limit_stated_at = m_clock();
  return true;
}

bool EndpointDirectory::IsPaused(const EndpointRecord& record) const {
  return record.paused_until && *record.paused_until > m_clock();
}

std::optional<Duration> EndpointDirectory::RemainingPause(
    std::string_view service) const {
  std::optional<Duration> least;
  for (const EndpointRecord* record : FindByService(service)) {
    if (IsUsable(*record)) {
      return std::nullopt;
    }
    if (IsInService(*record)) {
      const Duration left = *record->paused_until - m_clock();
      least = least ? std::min(*least, left) : left;
    }
  }
  return least;
}

void EndpointDirectory::MarkDomainSuspect(std::string_view service,
                                          std::string_view domain) {
  Extend(&m_domains[std::string(service)][std::string(domain)].suspect_until,
         m_clock() + kLostDomainPause);
}

void EndpointDirectory::OnBackupOpened(std::string_view id) {
  if (EndpointRecord* record = FindMutable(id)) {
    ++record->open_backups;
  }
}

void EndpointDirectory::OnBackupClosed(std::string_view id) {
  if (EndpointRecord* record = FindMutable(id)) {
    record->open_backups = std::max(0, record->open_backups - 1);
  }
}

bool EndpointDirectory::IsDomainSuspect(std::string_view service,
                                        std::string_view domain) const {
  const auto domains = m_domains.find(service);
  if (domains == m_domains.end()) {
    return false;
  }
  const auto it = domains->second.find(domain);
  return it != domains->second.end() && it->second.suspect_until &&
         *it->second.suspect_until > m_clock();
}

bool EndpointDirectory::IsSuspect(const EndpointRecord& record) const {
  return record.removed_at.has_value() ||
         (record.suspect_until && *record.suspect_until > m_clock()) ||
         IsDomainSuspect(record.entry.service, record.entry.failure_domain);
}

bool EndpointDirectory::IsReachable(const EndpointRecord& record) const {
  return !record.removed_at && !record.is_misdirected &&
         !record.is_superseded && record.consecutive_losses == 0 &&
         !IsDomainSuspect(record.entry.service, record.entry.failure_domain);
}

bool EndpointDirectory::IsHeldBack(const EndpointRecord& record) const {
  return record.held_back_until && *record.held_back_until > m_clock();
}

void EndpointDirectory::HoldBackUntil(TimePoint until) {
  for (auto& [id, record] : m_records) {
    if (IsHeldBack(record)) {
      record.held_back_until = until;
    }
  }
}

bool EndpointDirectory::IsUsable(const EndpointRecord& record) const {
  return IsInService(record) && !IsPaused(record);
}

bool EndpointDirectory::IsInService(const EndpointRecord& record) const {
  if (record.is_misdirected || record.is_superseded || record.is_leaving ||
      record.entry.state != EndpointState::kReady) {
    return false;
  }
  if (IsHeldBack(record)) {
    return false;
  }
  if (record.is_adopted && !IsOutageRecent()) {
    return false;
  }
  return !record.removed_at || (record.may_have_expired && IsOutageRecent());
}

}  // namespace bramleybank
