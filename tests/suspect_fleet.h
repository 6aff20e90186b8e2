// Gateways, endpoints and a store in memory that share evidence against prompt
// parts.
#ifndef BRAMLEYBANK_TESTS_SUSPECT_FLEET_H_
#define BRAMLEYBANK_TESTS_SUSPECT_FLEET_H_

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "metadata_store.h"
#include "prompt_suspects.h"
#include "suspect_tracker.h"

namespace bramleybank {

using Parts = std::vector<PromptPartHash>;

inline constexpr PromptPartHash kShared = 0xa;
inline constexpr PromptPartHash kDeadly = 0xd;
inline constexpr PromptPartHash kOther = 0xe;
inline constexpr Duration kStep = std::chrono::milliseconds(50);

inline CrashReport Crash(const std::string& endpoint,
                         const Parts& parts,
                         int known_crashes,
                         int weight = kCrashWeight) {
  CrashReport report;
  report.endpoint = endpoint;
  report.weight = weight;
  for (const PromptPartHash part : parts) {
    report.parts.push_back({.part = part, .known_crashes = known_crashes});
  }
  return report;
}

inline PromptSuspectList TwoCrashes(const Parts& first, const Parts& second) {
  PromptSuspectList list;
  list.AddCrash(Crash("e1", first, 0));
  list.AddCrash(Crash("e2", second, 1));
  return list;
}

/// Row of the store. Its copies of before each write allow a restore.
struct FleetStore {
  struct Row {
    std::string value;
    StoreVersion version;
    bool exists = false;
  };

  /// Replaces the row and begins an era.
  void Restore(const Row& copy) {
    const uint64_t era = row.version.era + 1;
    row = copy;
    row.version.era = era;
  }

  StoreResult Write(const SuspectTracker::Write& write) {
    if (is_away) {
      return StoreResult::kUnavailable;
    }
    ++writes;
    const StoreVersion current = row.exists ? row.version : StoreVersion();
    if (write.expected_version != current) {
      return StoreResult::kConflict;
    }
    row = {.value = write.value,
           .version = {row.version.number + 1, row.version.era},
           .exists = true};
    return StoreResult::kOk;
  }

  Row row;
  bool is_away = false;
  int writes = 0;
};

/// Gateways and endpoints in memory, in steps of kStep.
class SuspectFleet {
 public:
  SuspectFleet(int gateways, int endpoints, uint32_t seed)
      : m_random(seed), m_up_at(endpoints) {
    for (int i = 0; i < gateways; ++i) {
      AddGateway();
    }
  }

  struct Request {
    Parts parts;
    int gateway = 0;
    int endpoint = 0;
    int sends = 0;
    TimePoint writes_at;
    bool is_trial = false;
  };

  /// A caller sends a request to a random gateway.
  void Send(const Parts& parts) {
    Request request;
    request.parts = parts;
    request.gateway = static_cast<int>(m_random() % m_gateways.size());
    Attempt(request);
  }

  void SendAt(int gateway, const Parts& parts) {
    Request request;
    request.parts = parts;
    request.gateway = gateway;
    Attempt(request);
  }

  /// Cuts off all attempts at an endpoint, which is then down for a while.
  void Crash(int endpoint, const Request* begins = nullptr) {
    m_up_at[endpoint] = now + std::chrono::seconds(3);
    const std::vector<Request> lost = Take(
        [&](const Request& request) { return request.endpoint == endpoint; });
    if (begins != nullptr) {
      Lose(*begins, /*has_head=*/true);
    }
    for (const Request& request : lost) {
      Lose(request, /*has_head=*/false);
    }
  }

  void Run(
      Duration time,
      const std::function<void()>& each_step = [] {}) {
    for (const TimePoint end = now + time; now < end; now += kStep) {
      each_step();
      for (const Request& request :
           Take([&](const Request& r) { return r.writes_at <= now; })) {
        Begin(request);
      }
      for (size_t i = 0; i < m_gateways.size(); ++i) {
        StepGateway(static_cast<int>(i));
      }
    }
  }

  bool IsBlocked(int gateway, const Parts& parts) const {
    return !tracker(gateway).FindBlocking(parts).empty();
  }
  int CountBlocking(const Parts& parts) const {
    int count = 0;
    for (size_t i = 0; i < m_gateways.size(); ++i) {
      count += IsBlocked(static_cast<int>(i), parts) ? 1 : 0;
    }
    return count;
  }
  SuspectTracker& tracker(int gateway) { return m_gateways[gateway]->tracker; }
  const SuspectTracker& tracker(int gateway) const {
    return m_gateways[gateway]->tracker;
  }
  /// Replaces the last gateways by new ones that know nothing.
  void RestartLastGateways(size_t count) {
    m_gateways.resize(m_gateways.size() - count);
    for (size_t i = 0; i < count; ++i) {
      AddGateway();
    }
  }
  void RestartGateways() {
    const size_t count = m_gateways.size();
    m_gateways.clear();
    m_requests.clear();
    for (size_t i = 0; i < count; ++i) {
      AddGateway();
    }
  }

  TimePoint now{std::chrono::seconds(1000)};
  FleetStore store;
  // The first gateways read the store themselves.
  size_t readers = std::numeric_limits<size_t>::max();
  std::optional<PromptPartHash> bad_part;
  int crashes = 0;
  TimePoint fifth_crash_at;
  int late_crashes = 0;
  int begun = 0;
  int refused = 0;
  int trials = 0;
  int refused_sound = 0;

 private:
  struct Gateway {
    explicit Gateway(const SuspectTracker::Hooks& hooks) : tracker(hooks) {}
    SuspectTracker tracker;
    // When the newest row arrives, and when a write is answered.
    TimePoint reads_at;
    std::optional<SuspectTracker::Write> write;
    TimePoint writes_at;
    bool must_cancel = false;
  };

  void AddGateway() {
    const size_t index = m_gateways.size();
    m_gateways.push_back(std::make_unique<Gateway>(SuspectTracker::Hooks{
        .random = [this] { return m_random(); },
        .is_reader = [this, index] { return index < readers; },
        .on_verdict = [](CrashVerdict, const CrashReport&) {},
        .on_quarantined =
            [this, index](const PromptSuspect&) {
              m_gateways[index]->must_cancel = true;
            },
        .on_cleared = [](const PromptSuspect&) {},
        .on_row_outdated = [] {}}));
  }

  std::vector<Request> Take(
      const std::function<bool(const Request&)>& condition) {
    std::vector<Request> taken;
    std::erase_if(m_requests, [&](const Request& request) {
      const bool is_taken = condition(request);
      if (is_taken) {
        taken.push_back(request);
      }
      return is_taken;
    });
    return taken;
  }

  bool IsBad(const Parts& parts) const {
    return bad_part && std::ranges::find(parts, *bad_part) != parts.end();
  }

  void Attempt(Request request) {
    SuspectTracker& tracker = m_gateways[request.gateway]->tracker;
    const Parts blocking = tracker.FindBlocking(request.parts);
    if (!blocking.empty()) {
      if (!request.is_trial && tracker.IsTrialDue(blocking, now)) {
        tracker.RequestTrial(
            blocking,
            [this, request](bool granted) mutable {
              request.is_trial = true;
              trials += granted ? 1 : 0;
              granted ? Start(request) : Refuse(request);
            },
            now);
      } else {
        Refuse(request);
      }
      return;
    }
    Start(request);
  }

  void Refuse(const Request& request) {
    ++refused;
    refused_sound += IsBad(request.parts) ? 0 : 1;
  }

  void Start(Request request) {
    request.endpoint = static_cast<int>(m_random() % m_up_at.size());
    if (m_up_at[request.endpoint] > now) {
      // Like a caller that is refused for lack of endpoints.
      return;
    }
    ++request.sends;
    request.writes_at =
        now + std::chrono::milliseconds(800 + m_random() % 1000);
    m_requests.push_back(request);
  }

  void Begin(const Request& request) {
    if (IsBad(request.parts)) {
      CountCrash();
      Crash(request.endpoint, &request);
      return;
    }
    ++begun;
    m_gateways[request.gateway]->tracker.OnBegun(request.parts, now);
  }

  void CountCrash() {
    if (++crashes == 5) {
      fifth_crash_at = now;
    }
    late_crashes +=
        crashes > 5 && now > fifth_crash_at + std::chrono::seconds(4) ? 1 : 0;
  }

  void Lose(const Request& request, bool has_head) {
    const std::string address = "e" + std::to_string(request.endpoint);
    SuspectTracker& tracker = m_gateways[request.gateway]->tracker;
    tracker.OnLost(address, now);
    tracker.OnCrash(request.parts, address, has_head, now);
    if (request.sends < 5) {
      Attempt(request);
    }
  }

  void StepGateway(int index) {
    Gateway& gateway = *m_gateways[index];
    if (!store.is_away && store.row.version != StoreVersion() &&
        now >= gateway.reads_at) {
      gateway.tracker.OnRow({.key = "s",
                             .value = store.row.value,
                             .version = store.row.version,
                             .deleted = !store.row.exists},
                            now);
      gateway.reads_at = now + std::chrono::milliseconds(50 + m_random() % 400);
    }
    gateway.tracker.Advance(now);
    if (gateway.write && now >= gateway.writes_at) {
      FinishWrite(&gateway);
    } else if (!gateway.write) {
      gateway.write = gateway.tracker.NextWrite(now);
      gateway.writes_at = now + std::chrono::milliseconds(m_random() % 100);
    }
    if (std::exchange(gateway.must_cancel, false)) {
      Take([&](const Request& request) {
        return request.gateway == index && !request.is_trial &&
               IsBlocked(index, request.parts);
      });
    }
  }

  void FinishWrite(Gateway* gateway) {
    const SuspectTracker::Write write = *std::exchange(gateway->write, {});
    gateway->tracker.OnWritten(store.Write(write), now);
  }

  std::mt19937 m_random;
  std::vector<TimePoint> m_up_at;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  std::vector<Request> m_requests;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TESTS_SUSPECT_FLEET_H_
