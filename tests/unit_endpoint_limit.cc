// Rate limits of endpoints: permits of one issuer, and fleets of gateways in
// memory that share the limits under uneven load.
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
#include "endpoint_limiter.h"
#include "endpoint_picker.h"
#include "metric_registry.h"
#include "permit_client.h"
#include "permit_issuer.h"
#include "relay_message.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWindow{4000};
// A gateway is bound by a limit this long after it was told.
constexpr milliseconds kNotice{500};
constexpr milliseconds kWorkTime{30};

/// The users' bound on the requests of a window.
size_t MostInWindow(double rate_limit) {
  return static_cast<size_t>(1.5 * rate_limit * 4) + 5;
}

/// Gateways in memory, their messages with delays, and endpoints with limits.
class Fleet {
 public:
  struct Options {
    int gateways = 7;
    int endpoints = 3;
    /// Endpoints that state the limit, from the first one.
    int limited = 2;
    double rate_limit = 6;
    double requests_per_second = 85;
    /// Share of the requests that the load balancer sends to gateway 0.
    double share_of_first = 0.5;
    unsigned seed = 1;
  };

  explicit Fleet(const Options& options)
      : m_options(options),
        m_arrivals(static_cast<size_t>(options.endpoints)),
        m_random(options.seed) {
    for (int i = 0; i < options.gateways; ++i) {
      AddGateway();
    }
    ScheduleRequest();
  }

  void Run(Duration time) {
    const TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto node = m_events.extract(m_events.begin());
      m_now = node.key();
      node.mapped()();
    }
    m_now = end;
  }

  /// Adds a gateway that the others do not know yet.
  void AddGateway() {
    const auto number = m_gateways.size();
    m_gateways.push_back(std::make_unique<Gateway>(this, number));
    for (int i = 0; i < m_options.endpoints; ++i) {
      EndpointEntry entry;
      entry.id = "e" + std::to_string(i);
      entry.service = "s";
      entry.address = entry.id + ":1";
      entry.failure_domain = DomainOf(static_cast<size_t>(i));
      m_gateways.back()->directory.Update(entry);
    }
  }
  /// Sets how many gateways each one knows; the last one knows all.
  void SetKnown(size_t count) { m_known = count; }
  void Freeze(size_t gateway) { m_frozen.insert(gateway); }
  void Thaw(size_t gateway) { m_frozen.erase(gateway); }
  void SetLimited(int count) { m_options.limited = count; }
  void SetRequestsPerSecond(double rate) {
    m_options.requests_per_second = rate;
  }

  /// @returns the gateway that issues the permits of an endpoint.
  size_t IssuerOf(int endpoint) const {
    const Gateway& gateway = *m_gateways.front();
    const EndpointRecord* record =
        gateway.directory.Find("e" + std::to_string(endpoint));
    return NumberOf(gateway.client.IssuersOf(record->entry).front().name);
  }

  /// @returns the most requests within a window from gateways that were told.
  size_t MostArrivals(int endpoint) const {
    const auto& arrivals = m_arrivals[static_cast<size_t>(endpoint)];
    std::ptrdiff_t most = 0;
    for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
      const auto end =
          std::upper_bound(it, arrivals.end(), *it + Duration(kWindow));
      most = std::max(most, end - it);
    }
    return static_cast<size_t>(most);
  }
  size_t ArrivalsSince(int endpoint, TimePoint since) const {
    const auto& arrivals = m_arrivals[static_cast<size_t>(endpoint)];
    return static_cast<size_t>(arrivals.end() -
                               std::ranges::lower_bound(arrivals, since));
  }
  int served() const { return m_served; }
  int refused() const { return m_refused; }
  size_t queries() const { return m_queries; }
  TimePoint now() const { return m_now; }

 private:
  struct Gateway {
    Gateway(Fleet* fleet, size_t number)
        : member{.name = "g" + std::to_string(number),
                 .failure_domain = DomainOf(number),
                 .peer_address = "10.0.0.1:7201"},
          directory([fleet] { return fleet->m_now; }),
          client(member.name,
                 {.clock = [fleet] { return fleet->m_now; },
                  .random = [fleet] { return fleet->m_random(); },
                  .members = [fleet, number] { return fleet->Known(number); },
                  .gateways = [fleet] { return fleet->m_gateways.size(); },
                  .call =
                      [fleet](const GatewayMember& issuer,
                              const PermitQuery& query,
                              auto callback) {
                        fleet->Call(issuer, query, std::move(callback));
                      }}),
          limiter(&directory,
                  &metrics,
                  {.clock = [fleet] { return fleet->m_now; },
                   .ask =
                       [this](const EndpointEntry& endpoint,
                              const PermitQuery& query,
                              auto callback) {
                         client.Ask(endpoint, query, std::move(callback));
                       }}),
          picker(&directory,
                 &limiter,
                 {.failure_domain = member.failure_domain,
                  .region = member.failure_domain,
                  .regions = {{"d0", "d0"}, {"d1", "d1"}, {"d2", "d2"}}},
                 [fleet] { return fleet->m_random(); }) {}

    const GatewayMember member;
    MetricRegistry metrics;
    EndpointDirectory directory;
    PermitClient client;
    EndpointLimiter limiter;
    EndpointPicker picker;
    // When an answer first stated each endpoint's limit.
    std::map<std::string, TimePoint> told_at;
  };

  static std::string DomainOf(size_t number) {
    return "d" + std::to_string(number % 3);
  }
  static size_t NumberOf(const std::string& name) {
    return std::stoul(name.substr(1));
  }

  void Schedule(Duration delay, std::function<void()> event) {
    m_events.emplace(m_now + delay, std::move(event));
  }

  std::vector<GatewayMember> Known(size_t asker) const {
    std::vector<GatewayMember> members;
    for (size_t i = 0; i < m_gateways.size(); ++i) {
      if (i < m_known || asker + 1 == m_gateways.size()) {
        members.push_back(m_gateways[i]->member);
      }
    }
    return members;
  }

  void Call(const GatewayMember& issuer,
            const PermitQuery& query,
            std::function<void(std::optional<PermitAnswer>)> callback) {
    ++m_queries;
    const size_t number = NumberOf(issuer.name);
    if (m_frozen.contains(number)) {
      Schedule(kPermitQueryTimeout, [callback] { callback(std::nullopt); });
      return;
    }
    const Duration delay = milliseconds(1 + m_random() % 40);
    Schedule(delay, [this, number, query, callback, delay] {
      const PermitAnswer answer = m_gateways[number]->client.Answer(query);
      Schedule(delay, [callback, answer] { callback(answer); });
    });
  }

  void ScheduleRequest() {
    const auto gap = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / m_options.requests_per_second));
    Schedule(gap, [this] {
      const bool is_first = std::uniform_real_distribution<double>(
                                0, 1)(m_random) < m_options.share_of_first;
      const size_t gateway = is_first ? 0 : m_random() % m_gateways.size();
      if (!m_frozen.contains(gateway)) {
        StartRequest(m_gateways[gateway].get(), m_now);
      }
      ScheduleRequest();
    });
  }

  void StartRequest(Gateway* gateway, TimePoint arrived) {
    const EndpointChoice choice =
        gateway->picker.PickForAttempt({.service = "s"});
    if (choice.endpoint != nullptr) {
      if (choice.needs_permit != nullptr) {
        gateway->limiter.Request(*choice.needs_permit, nullptr);
      }
      Send(gateway, *choice.endpoint);
    } else if (choice.needs_permit != nullptr &&
               m_now - arrived < kMaxPermitWait) {
      gateway->limiter.Request(*choice.needs_permit, [this, gateway, arrived] {
        StartRequest(gateway, arrived);
      });
    } else {
      ++m_refused;
    }
  }

  void Send(Gateway* gateway, const EndpointRecord& record) {
    const std::string id = record.entry.id;
    const size_t endpoint = NumberOf(id);
    gateway->limiter.OnSend(record);
    gateway->directory.OnAttemptStarted(id);
    const auto told = gateway->told_at.find(id);
    if (told != gateway->told_at.end() && m_now - told->second >= kNotice) {
      m_arrivals[endpoint].push_back(m_now);
    }
    Schedule(kWorkTime, [this, gateway, id, endpoint, sent_at = m_now] {
      ++m_served;
      gateway->directory.OnAttemptEnded(id, EndpointOutcome::kAnswered);
      if (static_cast<int>(endpoint) < m_options.limited) {
        gateway->told_at.emplace(id, m_now);
        gateway->directory.OnRateLimit(id, m_options.rate_limit, m_now);
      } else if (gateway->directory.OnNoRateLimit(id, sent_at)) {
        gateway->limiter.OnLimitEnded(*gateway->directory.Find(id));
      }
    });
  }

  Options m_options;
  TimePoint m_now{seconds(1000)};
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  size_t m_known = SIZE_MAX;
  std::set<size_t> m_frozen;
  // Arrivals from gateways that were told, by endpoint.
  std::vector<std::vector<TimePoint>> m_arrivals;
  std::mt19937_64 m_random;
  int m_served = 0;
  int m_refused = 0;
  size_t m_queries = 0;
};

constexpr int kSizes[] = {7, 9, 79, 195, 304};

// Guards against a limit that each gateway keeps by itself, or of which each of
// hundreds of gateways takes at least one request.
TEST_CASE("a fleet of any size keeps a limit under any split of the load") {
  for (const int gateways : kSizes) {
    for (const double share_of_first : {0.0, 0.5, 1.0}) {
      for (const double rate_limit : {0.1, 6.0, 40.0}) {
        CAPTURE(gateways);
        CAPTURE(share_of_first);
        CAPTURE(rate_limit);
        Fleet fleet({.gateways = gateways,
                     .rate_limit = rate_limit,
                     .share_of_first = share_of_first});
        fleet.Run(seconds(20));
        CHECK(fleet.MostArrivals(0) <= MostInWindow(rate_limit));
        CHECK(fleet.MostArrivals(1) <= MostInWindow(rate_limit));
        CHECK(fleet.refused() == 0);
      }
    }
  }
}

// Guards against a limit of which gateways with little load keep a part that
// the others need: with all endpoints limited, half of the limit must be
// served.
TEST_CASE("a limit is used where the requests are") {
  for (const int gateways : kSizes) {
    for (const double share_of_first : {0.0, 0.5, 1.0}) {
      CAPTURE(gateways);
      CAPTURE(share_of_first);
      Fleet fleet({.gateways = gateways,
                   .limited = 3,
                   .rate_limit = 20,
                   .requests_per_second = 200,
                   .share_of_first = share_of_first});
      fleet.Run(seconds(10));
      const TimePoint since = fleet.now();
      fleet.Run(seconds(10));
      for (int endpoint = 0; endpoint < 3; ++endpoint) {
        CHECK(fleet.MostArrivals(endpoint) <= MostInWindow(20));
        CHECK(fleet.ArrivalsSince(endpoint, since) >= 100);
      }
    }
  }
}

// Guards against permits that idle gateways save up and use all at once when
// the load rises.
TEST_CASE("a burst after a quiet time keeps the limit") {
  Fleet fleet({.gateways = 304, .limited = 3, .share_of_first = 0});
  fleet.Run(seconds(10));
  fleet.SetRequestsPerSecond(0.5);
  fleet.Run(seconds(120));
  fleet.SetRequestsPerSecond(2000);
  fleet.Run(seconds(8));
  for (int endpoint = 0; endpoint < 3; ++endpoint) {
    CHECK(fleet.MostArrivals(endpoint) <= MostInWindow(6));
  }
}

// Guards against two gateways that both issue the permits of an endpoint, and
// against an endpoint that is not used any more when its issuer is lost.
TEST_CASE("a limit is kept while its issuer is frozen and when it is back") {
  for (const int gateways : kSizes) {
    CAPTURE(gateways);
    Fleet fleet({.gateways = gateways,
                 .requests_per_second = 10.0 * gateways,
                 .share_of_first = 0});
    fleet.Run(seconds(6));
    const size_t issuer = fleet.IssuerOf(0);
    fleet.Freeze(issuer);
    fleet.Run(seconds(2));
    const TimePoint since = fleet.now();
    fleet.Run(seconds(6));
    CHECK(fleet.ArrivalsSince(0, since) >= 6);
    fleet.Thaw(issuer);
    fleet.Run(seconds(12));
    CHECK(fleet.MostArrivals(0) <= MostInWindow(6));
    CHECK(fleet.MostArrivals(1) <= MostInWindow(6));
  }
}

// Guards against a new gateway that issues permits while the others do not know
// it and ask an older one.
TEST_CASE("a limit is kept while lists of gateways differ") {
  for (const int gateways : kSizes) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      CAPTURE(gateways);
      CAPTURE(seed);
      Fleet fleet({.gateways = gateways, .share_of_first = 0, .seed = seed});
      fleet.SetKnown(static_cast<size_t>(gateways));
      fleet.Run(seconds(6));
      fleet.AddGateway();
      fleet.Run(seconds(12));
      CHECK(fleet.MostArrivals(0) <= MostInWindow(6));
      CHECK(fleet.MostArrivals(1) <= MostInWindow(6));
    }
  }
}

// Guards against a sum that grows with the number of gateways when none knows
// the others.
TEST_CASE("gateways without an issuer take an even part of the limit") {
  for (const int gateways : kSizes) {
    CAPTURE(gateways);
    Fleet fleet({.gateways = gateways, .share_of_first = 0});
    fleet.SetKnown(0);
    fleet.Run(seconds(20));
    CHECK(fleet.MostArrivals(0) <= MostInWindow(6));
    CHECK(fleet.MostArrivals(1) <= MostInWindow(6));
  }
}

// Guards against gateways that keep to a limit that has ended because their own
// requests are too rare to notice.
TEST_CASE("gateways learn from the issuer that a limit has ended") {
  for (const int gateways : kSizes) {
    CAPTURE(gateways);
    Fleet fleet({.gateways = gateways,
                 .limited = 3,
                 .rate_limit = 3,
                 .share_of_first = 0});
    fleet.Run(seconds(20));
    fleet.SetLimited(0);
    fleet.Run(seconds(10));
    const int refused = fleet.refused();
    fleet.Run(seconds(5));
    CHECK(fleet.refused() == refused);
  }
}

// Guards against queries that grow faster than the fleet: while requests are
// refused, an issuer is asked at most every two seconds by each gateway.
TEST_CASE("gateways that get no permit ask seldom") {
  constexpr int kGateways = 304;
  Fleet fleet({.gateways = kGateways,
               .limited = 3,
               .requests_per_second = 2000,
               .share_of_first = 0});
  fleet.Run(seconds(10));
  const size_t before = fleet.queries();
  fleet.Run(seconds(10));
  CHECK(fleet.queries() - before <= 3 * kGateways * 10 / 2);
}

PermitQuery MakeQuery(std::optional<double> rate_limit,
                      Duration age,
                      uint32_t wanted,
                      int64_t start_ms = 1) {
  return {.endpoint_id = "e",
          .endpoint_start_ms = start_ms,
          .rate_limit = rate_limit,
          .age = age,
          .wanted = wanted};
}

// Guards against an older statement, which another gateway passes on late, that
// replaces a newer one.
TEST_CASE("an issuer goes by the latest statement and incarnation") {
  TimePoint now{seconds(100)};
  PermitIssuer issuer([&] { return now; }, [] { return 0; });
  CHECK(issuer.Issue(MakeQuery(6, seconds(0), 1)).granted == 1);
  now += seconds(1);
  CHECK(issuer.Issue(MakeQuery(std::nullopt, seconds(0), 0)).is_unlimited);
  CHECK(issuer.Issue(MakeQuery(6, seconds(1), 1)).is_unlimited);
  now += seconds(1);
  CHECK(issuer.Issue(MakeQuery(6, seconds(0), 1)).granted == 1);
  CHECK_FALSE(
      issuer.Issue(MakeQuery(std::nullopt, seconds(2), 1)).is_unlimited);
  CHECK(issuer.Issue(MakeQuery(std::nullopt, seconds(0), 0, 2)).is_unlimited);
  CHECK(issuer.Issue(MakeQuery(6, seconds(0), 1, 1)).granted == 0);
  CHECK(issuer.Issue(MakeQuery(std::nullopt, seconds(0), 0, 2)).is_unlimited);
}

// Guards against an issuer that takes a limit for ended because the statement
// is older than the issuer's own clock, which starts with its VM.
TEST_CASE("an issuer on a new VM accepts an old statement") {
  const TimePoint now{seconds(10)};
  PermitIssuer issuer([&] { return now; }, [] { return 0; });
  const PermitAnswer answer = issuer.Issue(MakeQuery(6, seconds(60), 1));
  CHECK_FALSE(answer.is_unlimited);
  CHECK(answer.granted == 1);
}

// Guards against memory that grows with all endpoints that ever had a limit.
TEST_CASE("an issuer keeps a bounded number of endpoints") {
  TimePoint now{seconds(100)};
  PermitIssuer issuer([&] { return now; }, [] { return 0; });
  for (size_t i = 0; i < kMaxPermitBuckets + 10; ++i) {
    now += milliseconds(1);
    PermitQuery query = MakeQuery(6, seconds(0), 1);
    query.endpoint_id = std::to_string(i);
    CHECK(issuer.Issue(query).granted == 1);
  }
  CHECK(issuer.size() == kMaxPermitBuckets);
}

TEST_CASE("permit messages are encoded and decoded") {
  const RelayPermitQuery query{.sender = "g",
                               .query = MakeQuery(5.5, milliseconds(20), 3)};
  CHECK(DecodeRelayMessage<RelayPermitQuery>(EncodeRelayMessage(query)) ==
        query);
  const RelayPermitQuery ended{.sender = "g",
                               .query = MakeQuery(std::nullopt, {}, 0)};
  CHECK(DecodeRelayMessage<RelayPermitQuery>(EncodeRelayMessage(ended)) ==
        ended);
  const RelayPermitAnswer answer{
      .answer = {.granted = 2, .retry_after = milliseconds(70)}};
  CHECK(DecodeRelayMessage<RelayPermitAnswer>(EncodeRelayMessage(answer)) ==
        answer);
  // Ages and limits beyond the range of the message.
  const RelayPermitQuery large{
      .sender = "g",
      .query = MakeQuery(1e300, std::chrono::hours(24 * 365), 1)};
  CHECK(DecodeRelayMessage<RelayPermitQuery>(EncodeRelayMessage(large))
            .has_value());
  CHECK_FALSE(DecodeRelayMessage<RelayPermitQuery>("garbage").has_value());
}

}  // namespace
}  // namespace bramleybank
