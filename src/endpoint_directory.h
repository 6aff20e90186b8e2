// The endpoints that a gateway knows: what they registered, and what this
// gateway has seen of them.
#ifndef BRAMLEYBANK_SRC_ENDPOINT_DIRECTORY_H_
#define BRAMLEYBANK_SRC_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endpoint_entry.h"
#include "hooks.h"

namespace bramleybank {

/// How an attempt at an endpoint ended.
enum class EndpointOutcome : uint8_t {
  kAnswered,
  /// The endpoint answered that it failed (5xx).
  kFailed,
  /// The endpoint refused the request without running it.
  kRefused,
  /// No connection, a broken connection, or silence.
  kLost,
  /// The address belongs to another endpoint by now.
  kMisdirected,
  /// The gateway ended the attempt for reasons of its own.
  kCancelled,
};

/// One endpoint with this gateway's own observations.
struct EndpointRecord {
  EndpointEntry entry;
  /// Requests of this gateway that the endpoint works on.
  int open_attempts = 0;
  /// Copies of runs that this gateway has asked the endpoint to keep.
  int open_backups = 0;
  int consecutive_losses = 0;
  /// The endpoint has refused and wants no requests until then.
  std::optional<TimePoint> paused_until;
  /// The endpoint itself has said that it stops, whatever its entry says. Holds
  /// until it starts anew.
  bool is_leaving = false;
  /// Until then other endpoints are preferred.
  std::optional<TimePoint> suspect_until;
  /// Set while the entry is gone from the store.
  std::optional<TimePoint> removed_at;
  /// The entry went during an outage of the store or just after it, so it may
  /// have lapsed although the endpoint lives; it is a last resort until entries
  /// must be back. One that goes at any other time has left.
  bool may_have_lapsed = false;
  /// The address answered for another endpoint.
  bool is_misdirected = false;
  /// Learnt from the endpoint itself while the store was away.
  bool is_adopted = false;
  /// Part of the recent answers that were failures.
  double failure_share = 0;
};

/// Table of endpoints by id.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(ClockHook clock);

  /// An entry is new or has changed.
  void Update(const EndpointEntry& entry);
  /// The entry is gone from the store.
  void Remove(std::string_view id);

  /// Takes over an endpoint that the store has not told of. It stands while the
  /// store is away and for a short time after its return.
  void Adopt(const EndpointEntry& entry);
  /// Whether the entries may be out of date because the store does not answer.
  void SetStoreLost(bool lost);
  bool is_store_lost() const { return m_store_lost; }

  void OnAttemptStarted(std::string_view id);
  void OnAttemptEnded(std::string_view id, EndpointOutcome outcome);
  void OnBackupOpened(std::string_view id);
  void OnBackupClosed(std::string_view id);
  /// The endpoint has said in an answer that it stops.
  /// @returns whether that is news.
  bool OnLeaving(std::string_view id);
  /// The endpoint has refused a request and wants none for `pause`.
  void OnPause(std::string_view id, Duration pause);
  /// All endpoints of a service in a failure domain have fallen silent.
  void MarkDomainSuspect(std::string_view service, std::string_view domain);

  /// @returns whether several endpoints of the domain were lost just now.
  bool IsDomainSuspect(std::string_view service, std::string_view domain) const;
  bool IsSuspect(const EndpointRecord& record) const;
  bool IsPaused(const EndpointRecord& record) const;
  /// @returns the time until an endpoint of a service may get work again;
  /// nothing while one may, or when none is paused.
  std::optional<Duration> RemainingPause(std::string_view service) const;
  /// @returns whether new work may go there at all.
  bool IsUsable(const EndpointRecord& record) const;

  /// @returns whether it may get work now or once its pause is over.
  bool IsInService(const EndpointRecord& record) const;
  /// @returns whether it seems to be alive, though it may be full or leaving.
  bool IsReachable(const EndpointRecord& record) const;

  const EndpointRecord* Find(std::string_view id) const;
  /// @returns the records of a service, in a stable order.
  const std::vector<const EndpointRecord*>& OfService(
      std::string_view service) const;
  size_t size() const { return m_records.size(); }

 private:
  /// Recent losses in one failure domain of a service.
  struct DomainLosses {
    std::map<std::string, TimePoint, std::less<>> lost_at;
    std::optional<TimePoint> suspect_until;
  };

  EndpointRecord* FindMutable(std::string_view id);
  void SupersedeAddress(const EndpointRecord& record);
  void RecordLoss(EndpointRecord* record);
  void DropGone();
  /// @returns whether entries that lapsed in an outage may still be missing.
  bool IsOutageRecent() const;

  ClockHook m_clock;
  bool m_store_lost = false;
  // When the store last came back; nothing before its first return.
  std::optional<TimePoint> m_store_back;
  TimePoint m_last_sweep;
  // Id of the newest entry at each address.
  std::map<std::string, std::string, std::less<>> m_by_address;
  // Map nodes do not move, so m_by_service may point at them.
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
