// State of every configured endpoint as this daemon sees it: its own
// observations first, the engines' load reports where it has none.
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
  /// Ended by this side; says nothing about the endpoint.
  kCancelled,
};

/// @returns whether the outcome speaks against the endpoint.
constexpr bool IsFailure(EndOutcome outcome) {
  return outcome != EndOutcome::kSuccess && outcome != EndOutcome::kCancelled;
}

/// An engine's answer to `GET /load`.
struct LoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  double tokens_per_s = 0;
  /// Age of the figures when the report arrived.
  Duration age{};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// First token of an attempt, with what was expected when it was placed.
struct FirstTokenSample {
  /// For an attempt that is given up without a token, the wait so far.
  Duration wait{};
  Duration estimated_wait{};
  /// Parts of the estimate that the engine's prefill does not cause.
  Duration estimated_queue{};
  Duration link{};
  uint32_t uncached_tokens = 0;
  std::span<const uint64_t> prefix_hashes{};
};

/// What is known of one endpoint.
struct EndpointState {
  std::string address;
  NameId group = 0;
  NameId version = 0;
  NameId adapter = 0;
  NameId region = 0;
  NameId domain = 0;
  uint32_t generation = 0;
  uint32_t in_flight = 0;
  // Never above in_flight.
  uint32_t long_in_flight = 0;
  /// Running and waiting requests of the last report.
  uint32_t reported_load = 0;
  /// Part of it that other daemons caused.
  float reported_others = 0;
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
  DecayingMean errors;
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
  /// Seconds that a slot is held.
  DecayingMean hold_s;
  /// Load of other daemons over all reports of the group.
  DecayingMean others;
  DecayingMean prefill_tokens_per_s;
};

/// Table of all endpoints. Events of a handle whose endpoint is gone are
/// ignored. Memory is bounded by kMaxEndpoints and kMaxPrefixCaches.
class EndpointTable {
 public:
  explicit EndpointTable(ClockHook now);

  /// Replaces the configuration. An endpoint that vanishes from it counts as
  /// leaving and is forgotten when its last attempt ends.
  /// @returns false, and keeps the old one, when it has too many endpoints.
  bool SetConfig(std::span<const EndpointConfig> endpoints);
  /// Names the endpoints of a group that this daemon prefers. The others of
  /// the group lose the estimate of their cache.
  void SetPreferred(std::string_view group,
                    std::span<const std::string> addresses);
  /// Takes news of a leaving endpoint from gossip or the platform's list.
  void SetLeavingNotice(std::string_view address, bool leaving);

  void OnStarted(EndpointHandle endpoint, OutputClass output);
  void OnFirstToken(EndpointHandle endpoint, const FirstTokenSample& sample);
  void OnTokens(EndpointHandle endpoint, uint32_t count);
  /// @param held time from the first token to the end. The wait before it is
  /// left out: it grows with the queue and would lengthen its estimate.
  void OnEnded(EndpointHandle endpoint,
               EndOutcome outcome,
               OutputClass output,
               Duration held);
  /// @returns the outcome to report for an attempt that was given up before its
  /// first token: a stall, or kCancelled when the endpoint is known to be busy.
  /// Otherwise an overload would eject endpoints and so grow.
  EndOutcome ClassifyFirstTokenTimeout(EndpointHandle endpoint) const;
  void OnReport(EndpointHandle endpoint, const LoadReport& report);
  void OnCacheEvent(EndpointHandle endpoint, const CacheEvent& event);

  /// @returns an invalid handle for an unknown address.
  EndpointHandle Find(std::string_view address) const;
  /// @returns nullptr when the endpoint is gone.
  const EndpointState* Get(EndpointHandle endpoint) const;
  const EndpointGroup* FindGroup(NameId group) const;
  const NamePool& names() const { return m_names; }

  /// Running and waiting requests of all daemons: own ones as counted, those
  /// of others as reported, drawn to the group's mean as the report ages.
  double EstimateLoad(const EndpointState& endpoint) const;
  /// Expected number of long generations among them.
  double EstimateLongLoad(const EndpointState& endpoint) const;
  uint32_t SlotsOf(const EndpointState& endpoint) const;
  /// Expected wait for a slot.
  Duration EstimateQueue(const EndpointState& endpoint) const;
  double PrefillRate(const EndpointState& endpoint) const;
  /// Own observation, or the report's figure without one.
  double TokensPerSecond(const EndpointState& endpoint) const;
  /// @returns the endpoint that was last seen to hold the longest of the
  /// prefixes; invalid when unknown.
  EndpointHandle FindPrefixHome(std::span<const uint64_t> prefix_hashes) const;

  TimePoint Now() const { return m_now(); }
  size_t size() const { return m_by_address.size(); }
  const Reason& last_reason() const { return m_last_reason; }

 private:
  struct PrefixHome {
    uint64_t hash = 0;
    EndpointHandle endpoint;
  };

  EndpointState* Mutable(EndpointHandle endpoint);
  EndpointHandle HandleOf(uint32_t slot) const;
  uint32_t AddSlot(const EndpointConfig& config);
  void Apply(EndpointState* state, const EndpointConfig& config);
  void FreeIfUnused(uint32_t slot);
  void RebuildGroups();
  PrefixCache* CacheOf(EndpointState* state);
  void DropCache(EndpointState* state);
  void RememberHome(uint64_t hash, EndpointHandle endpoint);

  ClockHook m_now;
  NamePool m_names;
  // A slot is in use while its address is in m_by_address; the others are in
  // m_free. The generation of a slot grows when it is freed.
  std::vector<EndpointState> m_endpoints;
  std::vector<uint32_t> m_free;
  std::unordered_map<std::string, uint32_t, TextHash, std::equal_to<>>
      m_by_address;
  std::unordered_map<NameId, EndpointGroup> m_groups;
  // Direct-mapped; a collision replaces the older entry.
  std::vector<PrefixHome> m_homes;
  size_t m_cache_count = 0;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_ROUTE_ENDPOINT_TABLE_H_
