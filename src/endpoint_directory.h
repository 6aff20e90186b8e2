// The endpoints that a gateway knows: their registered entries and this
// gateway's own observations of them.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_DIRECTORY_H_
#define BRAMLEYBANK_SRC_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "endpoint_entry.h"
#include "engine_load.h"
#include "hooks.h"

namespace bramleybank {

/// How an attempt to send a request to an endpoint ended.
enum class EndpointOutcome : uint8_t {
  kAnswered,
  /// The endpoint answered with a server error (5xx).
  kFailed,
  /// The endpoint refused the request without running it.
  kRefused,
  /// The connection could not be made, broke, or timed out.
  kLost,
  /// The address now belongs to another endpoint.
  kMisdirected,
  /// The gateway cancelled the attempt; this says nothing about the endpoint.
  kCancelled,
};

/// One endpoint: its entry and this gateway's own observations.
struct EndpointRecord {
  EndpointEntry entry;
  /// KeyOf(entry).
  EngineKey key = 0;
  /// Requests of this gateway in flight at the endpoint.
  int open_attempts = 0;
  /// Copies of runs that this gateway has asked the endpoint to hold.
  int open_backups = 0;
  int consecutive_losses = 0;
  /// Losses that other gateways have reported since the last answer.
  int reported_losses = 0;
  /// The endpoint has refused a request and asked for no more until then.
  std::optional<TimePoint> paused_until;
  /// The endpoint has announced that it is stopping, in an answer or in an
  /// entry that a restored store no longer has, whatever the state in its
  /// entry. Stays set until the endpoint restarts.
  bool is_leaving = false;
  /// The endpoint had left before the store was restored from an older copy,
  /// which may have brought its entry back. It is not used until then.
  std::optional<TimePoint> held_back_until;
  /// Requests per second that the endpoint takes from all gateways together;
  /// empty while its answers state no limit.
  std::optional<double> rate_limit;
  /// When the endpoint last stated a limit, or that there is none any more.
  TimePoint rate_limit_stated_at;
  /// Other endpoints are preferred until then.
  std::optional<TimePoint> suspect_until;
  /// When the entry disappeared from the store; empty while it is there.
  std::optional<TimePoint> removed_at;
  /// The entry disappeared during an outage of the store or shortly after it,
  /// so it may have expired although the endpoint is alive. The endpoint stays
  /// usable as a last resort until live endpoints must have renewed their
  /// entries. An entry that disappears at any other time means that the
  /// endpoint has left.
  bool may_have_expired = false;
  /// Another endpoint has answered at the address.
  bool is_misdirected = false;
  /// A newer entry has the address.
  bool is_superseded = false;
  /// Increases in the order in which entries of new starts were read.
  uint64_t arrival = 0;
  /// Reported by the endpoint itself while the store was unavailable.
  bool is_adopted = false;
  /// Moving average of the share of answers that were failures, 0 to 1.
  double failure_share = 0;
};

/// Table of the known endpoints by id.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(ClockHook clock);

  /// Sets the services of the configuration. Entries of others may come from
  /// another writer and name no endpoint. Before the first call all count.
  void SetServices(std::set<std::string, std::less<>> services);

  /// Adds a new entry or replaces a changed one.
  void Update(const EndpointEntry& entry);
  /// Marks an endpoint whose entry is gone from the store. The record is kept
  /// for a while.
  void Remove(std::string_view id);

  /// Adds an endpoint that the store has not reported. It is usable while the
  /// store is unavailable and for a short time after its return.
  void Adopt(const EndpointEntry& entry);
  /// Sets whether the store does not answer, so that entries may be stale.
  void SetStoreLost(bool lost);
  bool is_store_lost() const { return m_store_lost; }
  /// The store has been restored from an older copy: the next entries may be
  /// older than the known ones, and some are missing until their endpoints
  /// write them again.
  void OnStoreRestored();

  void OnAttemptStarted(std::string_view id);
  void OnAttemptEnded(std::string_view id, EndpointOutcome outcome);
  /// An attempt there is silent and is to be replaced. Counts as a loss until
  /// OnSign().
  void OnSilence(std::string_view id);
  /// A silent attempt has made progress.
  void OnSign(std::string_view id);
  /// Another gateway has lost the endpoint with this key. Other endpoints are
  /// preferred for a while, unless the loss is known already.
  void OnReportedLoss(EngineKey key);
  void OnBackupOpened(std::string_view id);
  void OnBackupClosed(std::string_view id);
  /// The endpoint has announced in an answer that it is stopping.
  /// @returns true for the first announcement of a known endpoint.
  bool OnLeaving(std::string_view id);
  /// The endpoint has refused a request and asked for no more during `pause`.
  void OnPause(std::string_view id, Duration pause);
  /// The endpoint has stated in an answer how many requests per second it
  /// takes.
  /// @param stated_at when the answer arrived; older statements are ignored.
  /// @returns whether that is new to this gateway.
  bool OnRateLimit(std::string_view id,
                   double requests_per_second,
                   TimePoint stated_at);
  /// The endpoint has answered without stating a limit.
  /// @param sent_at when its request was sent. An answer to a request that is
  /// older than the last statement may be older than the limit.
  /// @returns whether that ends a limit.
  bool OnNoRateLimit(std::string_view id, TimePoint sent_at);
  /// All streams of a service in a failure domain have stopped sending events.
  void MarkDomainSuspect(std::string_view service, std::string_view domain);

  /// @returns whether the domain as a whole was recently found to be lost.
  bool IsDomainSuspect(std::string_view service, std::string_view domain) const;
  bool IsSuspect(const EndpointRecord& record) const;
  bool IsPaused(const EndpointRecord& record) const;
  /// @returns whether the endpoint has asked for no requests or for few. It
  /// then gets none but those of callers.
  bool IsRestricted(const EndpointRecord& record) const {
    return IsPaused(record) || record.rate_limit;
  }
  /// @returns the time until the first paused endpoint of a service may get
  /// requests again; empty while one is usable, or if none is paused.
  std::optional<Duration> RemainingPause(std::string_view service) const;
  /// @returns whether new requests may be sent to the endpoint now.
  bool IsUsable(const EndpointRecord& record) const;

  /// @returns whether the endpoint is usable now or will be after its pause.
  bool IsInService(const EndpointRecord& record) const;
  /// @returns whether the endpoint seems to be alive; it may be full or
  /// leaving.
  bool IsReachable(const EndpointRecord& record) const;

  const EndpointRecord* Find(std::string_view id) const;
  /// @returns the records of a service, in a stable order.
  const std::vector<const EndpointRecord*>& FindByService(
      std::string_view service) const;
  size_t size() const { return m_records.size(); }

 private:
  /// Recent losses in one failure domain of a service.
  struct DomainLosses {
    std::map<std::string, TimePoint, std::less<>> lost_at;
    std::optional<TimePoint> suspect_until;
  };

  EndpointRecord* FindMutable(std::string_view id);
  bool IsHeldBack(const EndpointRecord& record) const;
  /// Sets the end of the time for all records that are held back now.
  void HoldBackUntil(TimePoint until);
  /// Marks the older one of two records at the same address as superseded.
  void SupersedeOlderEntry(EndpointRecord& record);
  bool IsNamed(const std::string& service) const;
  /// The entry of another endpoint at the address has disappeared: what
  /// remains there may be the one that answers.
  void ReinstateAt(const std::string& address);
  bool IsRestoreRecent() const;
  void RecordLoss(EndpointRecord* record);
  static void ForgetLosses(EndpointRecord* record);
  /// Prefers other endpoints, for longer with each loss that went before.
  void Suspect(EndpointRecord* record, int earlier_losses);
  /// Erases records some time after their entries were removed.
  void EvictRemoved();
  /// @returns whether entries that expired in an outage of the store may still
  /// be missing.
  bool IsOutageRecent() const;

  ClockHook m_clock;
  bool m_store_lost = false;
  // End of the last outage of the store; empty before the first one ended.
  std::optional<TimePoint> m_store_returned_at;
  // When the store was last found to be restored from an older copy.
  std::optional<TimePoint> m_restored_at;
  TimePoint m_last_sweep;
  // Empty before SetServices().
  std::optional<std::set<std::string, std::less<>>> m_services;
  uint64_t m_arrivals = 0;
  // Id of the newest entry of a named service at each address.
  std::map<std::string, std::string, std::less<>> m_by_address;
  // Ids of endpoints by their keys, some of them of former incarnations.
  std::unordered_map<EngineKey, std::string> m_ids_by_key;
  // Map nodes have stable addresses, so m_by_service may point to them.
  std::map<std::string, EndpointRecord, std::less<>> m_records;
  std::map<std::string, std::vector<const EndpointRecord*>, std::less<>>
      m_by_service;
  // By service, then failure domain.
  std::map<std::string,
           std::map<std::string, DomainLosses, std::less<>>,
           std::less<>>
      m_domains;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ENDPOINT_DIRECTORY_H_
