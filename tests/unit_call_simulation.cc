// Guards invariants I5 and I6 of the design against unforeseen orders of
// events: several daemons receive the same key at random times, and the table,
// the service and the daemons fail at random. The seeds are fixed.
#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>

#include "bramleybank/limits.h"
#include "call_machine.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One row, one service and a clock that jumps from event to event.
class Simulation {
 public:
  explicit Simulation(uint64_t seed) : m_random(seed) {}

  uint64_t Random(uint64_t below) { return m_random() % below; }
  bool Chance(uint64_t percent) { return faults && Random(100) < percent; }
  void ScheduleAfter(Duration delay, std::function<void()> event) {
    m_events.emplace(now + delay, std::move(event));
  }
  Duration RandomLatency() { return milliseconds(1 + Random(20)); }

  void Run() {
    while (!m_events.empty()) {
      auto node = m_events.extract(m_events.begin());
      now = std::max(now, node.key());
      node.mapped()();
    }
  }

  TableWriteResult Apply(const std::string& value, uint64_t expected) {
    if (row.version != expected) {
      return {.status = TableWriteStatus::kConflict, .version = 0};
    }
    row = {.value = value, .version = expected + 1};
    return {.status = TableWriteStatus::kWritten, .version = row.version};
  }

  TimePoint now{seconds(1)};
  bool faults = true;
  TableRow row;
  int runs = 0;

 private:
  std::mt19937_64 m_random;
  std::multimap<TimePoint, std::function<void()>> m_events;
};

/// One daemon with one request. Its events are delayed while it is paused and
/// discarded once it is dead.
class Daemon {
 public:
  explicit Daemon(Simulation* simulation)
      : m_simulation(simulation),
        m_machine(
            {.owner = "d",
             .request_hash = "h",
             .clock = [simulation] { return simulation->now; },
             .random = [simulation] { return simulation->Random(1ULL << 62U); },
             .choose_endpoint = [](const std::vector<std::string>& avoid)
                 -> std::optional<std::string> {
               if (avoid.size() >= 2) {
                 return std::nullopt;
               }
               return "e" + std::to_string(avoid.size());
             }}) {}

  void Start() {
    Deliver([this] { Execute(m_machine.Start()); });
    if (m_simulation->Chance(20)) {
      m_simulation->ScheduleAfter(
          milliseconds(m_simulation->Random(3000)),
          [this] { Deliver([this] { Execute(m_machine.OnCallerGone()); }); });
    }
    if (m_simulation->Chance(30)) {
      m_simulation->ScheduleAfter(
          milliseconds(m_simulation->Random(200)), [this] {
            m_paused_until =
                m_simulation->now + milliseconds(m_simulation->Random(60000));
          });
    }
    if (m_simulation->Chance(10)) {
      m_simulation->ScheduleAfter(milliseconds(m_simulation->Random(300)),
                                  [this] { m_dead = true; });
    }
  }

  bool dead() const { return m_dead; }
  bool settled() const { return m_machine.is_settled(); }
  int runs() const { return m_runs; }
  const std::optional<HttpRefusal>& refusal() const { return m_refusal; }
  const std::optional<CallAnswer>& answer() const { return m_answer; }

 private:
  void Deliver(std::function<void()> input) {
    if (m_dead) {
      return;
    }
    if (m_simulation->now < m_paused_until) {
      m_simulation->ScheduleAfter(m_paused_until - m_simulation->now,
                                  [this, input] { Deliver(input); });
      return;
    }
    input();
  }

  void DeliverAfter(Duration delay, std::function<void()> input) {
    m_simulation->ScheduleAfter(delay, [this, input] { Deliver(input); });
  }

  void Execute(const CallMachine::Actions& actions) {
    for (const CallAction& action : actions) {
      Perform(action);
    }
  }

  void Perform(const CallAction& action) {
    switch (action.kind) {
      case CallActionKind::kWriteRow:
        Write(action);
        break;
      case CallActionKind::kReadRow:
        Read();
        break;
      case CallActionKind::kDispatch:
        Dispatch();
        break;
      case CallActionKind::kAnswer:
        REQUIRE_FALSE((m_answer || m_refusal));
        m_answer = action.answer;
        break;
      case CallActionKind::kRefuse:
        REQUIRE_FALSE((m_answer || m_refusal));
        m_refusal = action.refusal;
        break;
      case CallActionKind::kSchedule:
        DeliverAfter(action.delay, [this, timer = action.timer] {
          Execute(m_machine.OnTimer(timer));
        });
        break;
      default:
        FAIL("unexpected action");
    }
  }

  void Write(const CallAction& action) {
    const auto result = [this](const TableWriteResult& value) {
      return [this, value] { Execute(m_machine.OnWriteResult(value)); };
    };
    const TableWriteResult unknown{.status = TableWriteStatus::kUnknown,
                                   .version = 0};
    if (m_simulation->Chance(10)) {
      // The write takes effect before or after the timeout, or never.
      if (m_simulation->Chance(70)) {
        m_simulation->ScheduleAfter(
            milliseconds(m_simulation->Random(40000)),
            [simulation = m_simulation, action] {
              simulation->Apply(action.value, action.expected_version);
            });
      }
      DeliverAfter(kPlatformTimeout, result(unknown));
    } else if (m_simulation->Chance(5)) {
      DeliverAfter(
          m_simulation->RandomLatency(),
          result({.status = TableWriteStatus::kNotWritten, .version = 0}));
    } else {
      m_simulation->ScheduleAfter(
          m_simulation->RandomLatency(), [this, action, result, unknown] {
            const auto applied =
                m_simulation->Apply(action.value, action.expected_version);
            if (m_simulation->Chance(15)) {
              DeliverAfter(kPlatformTimeout, result(unknown));
            } else {
              DeliverAfter(m_simulation->RandomLatency(), result(applied));
            }
          });
    }
  }

  void Read() {
    m_simulation->ScheduleAfter(m_simulation->RandomLatency(), [this] {
      TableReadResult result;
      if (!m_simulation->Chance(15)) {
        result.row = m_simulation->row;
        result.status = result.row.version == kNoRow
                            ? TableReadStatus::kNotFound
                            : TableReadStatus::kFound;
      }
      DeliverAfter(m_simulation->RandomLatency(),
                   [this, result] { Execute(m_machine.OnReadResult(result)); });
    });
  }

  void Dispatch() {
    if (m_simulation->Chance(15)) {
      DeliverAfter(m_simulation->RandomLatency(),
                   [this] { Execute(m_machine.OnConnectFailed()); });
      return;
    }
    m_simulation->ScheduleAfter(m_simulation->RandomLatency(), [this] {
      ++m_runs;
      const std::string body = "run " + std::to_string(++m_simulation->runs);
      const bool lost = m_simulation->Chance(15);
      DeliverAfter(
          milliseconds(m_simulation->Random(2000)), [this, body, lost] {
            Execute(lost ? m_machine.OnAnswerLost()
                         : m_machine.OnAnswer(
                               {.status = 201, .headers = {}, .body = body}));
          });
    });
  }

  Simulation* m_simulation;
  CallMachine m_machine;
  TimePoint m_paused_until;
  bool m_dead = false;
  int m_runs = 0;
  std::optional<HttpRefusal> m_refusal;
  std::optional<CallAnswer> m_answer;
};

void CheckSeed(uint64_t seed) {
  CAPTURE(seed);
  Simulation simulation(seed);
  std::vector<std::unique_ptr<Daemon>> daemons;
  const size_t count = 2 + simulation.Random(3);
  for (size_t i = 0; i < count; ++i) {
    daemons.push_back(std::make_unique<Daemon>(&simulation));
    simulation.ScheduleAfter(
        milliseconds(simulation.Random(i == 0 ? 1 : 8000)),
        [daemon = daemons.back().get()] { daemon->Start(); });
  }
  simulation.Run();
  REQUIRE(simulation.runs <= 1);
  bool any_dead = false;
  for (const auto& daemon : daemons) {
    any_dead = any_dead || daemon->dead();
    REQUIRE((daemon->settled() || daemon->dead()));
    if (daemon->refusal() &&
        daemon->refusal()->outcome == RefusalOutcome::kNotRun) {
      REQUIRE(daemon->runs() == 0);
    }
    if (daemon->answer()) {
      REQUIRE(daemon->answer()->body == "run 1");
    }
  }
  // The key stays usable: if no daemon has died, a call that has not run can
  // still run. A call that has run is never run again.
  simulation.faults = false;
  Daemon last(&simulation);
  last.Start();
  simulation.Run();
  REQUIRE(last.settled());
  REQUIRE(simulation.runs <= 1);
  if (!any_dead) {
    REQUIRE(simulation.runs == 1);
  }
}

TEST_CASE("random faults never run a call twice or make a refusal incorrect") {
  for (uint64_t seed = 1; seed <= 20000; ++seed) {
    CheckSeed(seed);
  }
}

}  // namespace
}  // namespace bramleybank
