// State of every configured endpoint as this daemon sees it: its own
// observations, and the engines' load reports where it has none.
#ifndef BRAMLEYBANK_SRC_ROUTE_ENDPOINT_TABLE_H_
#define BRAMLEYBANK_SRC_ROUTE_ENDPOINT_TABLE_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bramleybank/handle.h"
#include "bramleybank/result_code.h"
#include "config_snapshot.h"
#include "decaying_mean.h"
#include "hooks.h"
#include "route_name_pool.h"
#include "route_prefix_cache.h"

namespace bramleybank {

struct EndpointTag;
using EndpointHandle = Handle<EndpointTag>;

/// Expected length of the output.
enum class OutputClass : uint8_t { kShort, kLong };

enum class EndOutcome : uint8_t {
  kSuccess,
  kConnectFailed,
  kErrorEvent,
  kEarlyEnd,
  kStalled,
  /// Ended by this daemon; says nothing about the endpoint.
  kCancelled,
};

/// @returns whether the outcome counts as a failure of the endpoint.
constexpr bool IsFailure(EndOutcome outcome) {
  return outcome != EndOutcome::kSuccess && outcome != EndOutcome::kCancelled;
}

/// An engine's answer to `GET /load`.
struct LoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  double tokens_per_s = 0;
  /// Age of the values when the report arrived.
  Duration age{};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// The first token of an attempt, with the estimates that were made when the
/// endpoint was chosen.
struct FirstTokenSample {
  /// For an attempt that is given up without a token, the wait so far.
  Duration wait{};
  Duration estimated_wait{};
  /// Parts of the estimate that are not caused by the engine's prefill.
  Duration estimated_queue{};
  Duration link{};
  uint32_t uncached_tokens = 0;
  std::span<const uint64_t> prefix_hashes{};
};

/// State of one endpoint.
struct EndpointState {
  std::string address;
  NameId group = 0;
  NameId version = 0;
  NameId adapter = 0;
  NameId region = 0;
  NameId domain = 0;
  uint32_t generation = 0;
  uint32_t in_flight = 0;
  // At most in_flight.
  uint32_t long_in_flight = 0;
  /// Running and waiting requests of the last report.
  uint32_t reported_load = 0;
  /// Part of reported_load that other daemons caused.
  float reported_other_load = 0;
  uint32_t slots = 0;
  bool in_use = false;
  bool in_config = false;
  bool leaving_by_config = false;
  bool leaving_by_notice = false;
  bool has_report = false;
  TimePoint reported_at;
  float reported_tokens_per_s = 0;
  DecayingSum tokens;
  DecayingMean first_token_ms;
  /// Observed minus estimated wait for the first token.
  DecayingMean bias_ms;
  DecayingMean prefill_tokens_per_s;
  /// 1 for a failure, 0 for a success.
  DecayingMean failure_rate;
  DecayingSum connect_failures;
  /// Null until something is known about the cache.
  std::unique_ptr<PrefixCache> cache;

  bool is_leaving() const {
    return leaving_by_config || leaving_by_notice || !in_config;
  }
};

/// Endpoints of a group in one failure domain.
struct DomainEndpoints {
  NameId domain = 0;
  NameId region = 0;
  std::vector<EndpointHandle> endpoints;
};

/// One model or service.
struct EndpointGroup {
  /// Endpoints that this daemon polls and prefers, and all of them.
  std::vector<DomainEndpoints> preferred;
  std::vector<DomainEndpoints> all;
  uint32_t size = 0;
  uint32_t preferred_size = 0;
  uint32_t in_flight = 0;
  uint32_t long_in_flight = 0;
  /// Seconds for which an attempt holds its slot, from the first token to the
  /// end.
  DecayingMean slot_hold_s;
  /// Load of other daemons, averaged over all reports of the group.
  DecayingMean other_load;
  DecayingMean prefill_tokens_per_s;
};

/// Table of all endpoints. Events for a handle whose endpoint was removed are
/// ignored. Memory is bounded by kMaxEndpoints and kMaxPrefixCaches.
class EndpointTable {
 public:
  explicit EndpointTable(ClockHook now);

  /// Replaces the configuration. An endpoint that is no longer configured
  /// counts as leaving and is removed when its last attempt ends.
  /// @returns false when it has more than kMaxEndpoints endpoints; the old
  /// configuration then stays in effect.
  bool SetConfig(std::span<const EndpointConfig> endpoints);
  /// Sets the endpoints of a group that this daemon prefers. The cache
  /// estimates of the group's other endpoints are dropped.
  void SetPreferred(std::string_view group,
                    std::span<const std::string> addresses);
  /// Sets whether an endpoint is leaving according to gossip or the platform's
  /// list.
  void SetLeavingNotice(std::string_view address, bool leaving);

  void OnStarted(EndpointHandle endpoint, OutputClass output);
  void OnFirstToken(EndpointHandle endpoint, const FirstTokenSample& sample);
  void OnTokens(EndpointHandle endpoint, uint32_t count);
  /// @param slot_hold_time time from the first token to the end. The wait for
  /// the first token is excluded: it grows with the queue and would inflate the
  /// estimate of the queue.
  void OnEnded(EndpointHandle endpoint,
               EndOutcome outcome,
               OutputClass output,
               Duration slot_hold_time);
  /// @returns the outcome to report for an attempt that was given up before its
  /// first token: kStalled, or kCancelled when the endpoint is known to have a
  /// queue. If a queue counted as a failure, an overload would eject endpoints
  /// and so increase the load on the others.
  EndOutcome ClassifyFirstTokenTimeout(EndpointHandle endpoint) const;
  void OnReport(EndpointHandle endpoint, const LoadReport& report);
  void OnCacheEvent(EndpointHandle endpoint, const CacheEvent& event);

  /// @returns an invalid handle for an unknown address.
  EndpointHandle Find(std::string_view address) const;
  /// @returns nullptr when the endpoint was removed.
  const EndpointState* Get(EndpointHandle endpoint) const;
  const EndpointGroup* FindGroup(NameId group) const;
  const NamePool& names() const { return m_names; }

  /// @returns the estimated running and waiting requests of all daemons: those
  /// of this daemon as counted, and those of other daemons as reported, moved
  /// towards the group's mean as the report ages.
  double EstimateLoad(const EndpointState& endpoint) const;
  /// @returns the expected number of long generations among these requests.
  double EstimateLongLoad(const EndpointState& endpoint) const;
  uint32_t SlotsOf(const EndpointState& endpoint) const;
  /// Expected wait for a slot.
  Duration EstimateQueue(const EndpointState& endpoint) const;
  double PrefillRate(const EndpointState& endpoint) const;
  /// @returns the observed rate, or the reported one without an observation.
  double TokensPerSecond(const EndpointState& endpoint) const;
  /// @returns the endpoint on which the longest of the prefixes that have a
  /// known location was last seen; an invalid handle when none has.
  EndpointHandle FindPrefixLocation(
      std::span<const uint64_t> prefix_hashes) const;

  TimePoint Now() const { return m_now(); }
  size_t size() const { return m_by_address.size(); }
  const Reason& last_reason() const { return m_last_reason; }

 private:
  struct PrefixLocation {
    uint64_t hash = 0;
    EndpointHandle endpoint;
  };

  EndpointState* GetMutable(EndpointHandle endpoint);
  EndpointHandle HandleOf(uint32_t index) const;
  uint32_t AddEntry(const EndpointConfig& config);
  void Apply(EndpointState* state, const EndpointConfig& config);
  void FreeIfUnused(uint32_t index);
  void RebuildGroups();
  PrefixCache* GetOrCreateCache(EndpointState* state);
  void DropCache(EndpointState* state);
  void RecordPrefixLocation(uint64_t hash, EndpointHandle endpoint);

  ClockHook m_now;
  NamePool m_names;
  // An entry is in use while its address is in m_by_address; the indices of the
  // others are in m_free_entries. The generation of an entry is incremented
  // when the entry is freed.
  std::vector<EndpointState> m_endpoints;
  std::vector<uint32_t> m_free_entries;
  std::unordered_map<std::string, uint32_t, StringHash, std::equal_to<>>
      m_by_address;
  std::unordered_map<NameId, EndpointGroup> m_groups;
  // Direct-mapped table; a collision replaces the older entry.
  std::vector<PrefixLocation> m_prefix_locations;
  size_t m_cache_count = 0;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_ENDPOINT_TABLE_H_
