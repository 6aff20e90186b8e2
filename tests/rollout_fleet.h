// Several gateways that carry out a rollout through a store in memory, which
// can be restored from an older copy.
#ifndef BRAMLEYBANK_TESTS_ROLLOUT_FLEET_H_
#define BRAMLEYBANK_TESTS_ROLLOUT_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "rollout_controller.h"
#include "rollout_records.h"
#include "store_rows.h"

namespace bramleybank {

/// Row store that several gateways share. Calls are answered in the next
/// iteration of the loop.
class SharedStore : public MetadataStore {
 public:
  explicit SharedStore(EventLoop* loop) : m_loop(loop) {}

  void Read(const std::string& table,
            const std::string& after,
            RowsCallback callback) override {
    m_loop->Post([this, table, after, callback = std::move(callback)] {
      StoreRows rows;
      if (!is_down) {
        rows = Rows(table, after);
      }
      callback(rows);
    });
  }
  void WaitForChanges(const std::string&,
                      const StoreVersion&,
                      Duration,
                      RowsCallback) override {}
  void Write(const StoreWrite& write, WriteCallback callback) override {
    if (should_hold && should_hold(write)) {
      held.push_back(write);
      return;
    }
    m_loop->Post([this, write, callback = std::move(callback)] {
      callback(is_down ? StoreResult::kUnavailable : Apply(write));
    });
  }

  StoreResult Apply(const StoreWrite& write) {
    for (const auto& [table, key, version] : ConditionsOf(write)) {
      if (!Matches(version, m_rows[{table, key}])) {
        return StoreResult::kConflict;
      }
    }
    m_rows[{write.table, write.key}] = {
        .key = write.key, .value = write.value, .version = ++m_version};
    history.push_back(write);
    return StoreResult::kOk;
  }

  /// Keeps a copy of all rows, to which Restore() goes back.
  void TakeCopy() { m_copy = {m_rows, m_version}; }
  /// Loses what was written since the copy. Numbers are assigned again.
  void Restore() {
    std::tie(m_rows, m_version) = m_copy;
    ++m_era;
    history.clear();
  }
  uint64_t era() const { return m_era; }
  /// @returns the number of a row that an operator writes now.
  uint64_t AssignNumber() { return ++m_version; }
  /// Sets the number of the operator's row with this key; 0 removes the row.
  void SetOperatorRow(const std::string& key, uint64_t number) {
    m_rows[{"op", key}] = {.key = key, .value = {}, .version = number};
  }

  /// @returns the value of a row, or nothing if there is none.
  std::optional<std::string> Value(const std::string& table,
                                   const std::string& key) const {
    const auto it = m_rows.find({table, key});
    return it == m_rows.end() || it->second.version == StoreVersion()
               ? std::nullopt
               : std::optional(it->second.value);
  }

  /// Phases written to the operator's status, in order, without repeats.
  std::vector<RolloutPhase> Statuses() const {
    std::vector<RolloutPhase> phases;
    for (const StoreWrite& write : history) {
      if (write.table == "status") {
        phases.push_back(platform::DecodeRolloutStatus(write.value)->phase);
      }
    }
    phases.erase(std::unique(phases.begin(), phases.end()), phases.end());
    return phases;
  }

  bool is_down = false;
  Duration now{0};
  /// Writes that took effect since the start, or since the last restore.
  std::vector<StoreWrite> history;
  /// Writes for which it returns true are kept in `held` without an answer.
  std::function<bool(const StoreWrite&)> should_hold;
  std::vector<StoreWrite> held;

 private:
  using Table = std::map<std::pair<std::string, std::string>, StoreRow>;

  StoreRows Rows(const std::string& table, const std::string& after) const {
    StoreRows rows{.result = StoreResult::kOk,
                   .version = StoreVersion(m_version, m_era),
                   .now = now};
    for (const auto& [name, row] : m_rows) {
      if (name.first == table && row.key > after) {
        rows.rows.push_back(row);
        rows.rows.back().version.era = m_era;
      }
    }
    return rows;
  }
  bool Matches(const StoreVersion& expected, const StoreRow& row) const {
    return expected.number == row.version.number &&
           (expected.number == 0 || expected.era == m_era);
  }

  EventLoop* m_loop;
  uint64_t m_version = 100;
  uint64_t m_era = 0;
  Table m_rows;
  std::pair<Table, uint64_t> m_copy;
};

/// Gateways that serve requests of one route and follow one order.
struct RolloutFleet {
  /// Key of the order's row and of its status.
  static constexpr char kOrderKey[] = "rollout/s";

  explicit RolloutFleet(Duration duration = std::chrono::seconds(4),
                        bool relayed = false)
      : has_relay(relayed) {
    order.duration = duration;
    for (int i = 0; i < 3; ++i) {
      Start(i);
    }
  }

  void Start(int i) {
    store.SetOperatorRow(kOrderKey, order.id.number);
    controllers.resize(3);
    controllers[i] = std::make_unique<RolloutController>(
        &loop, &store, &rows, "g" + std::to_string(i),
        RolloutController::Hooks{
            .random = [this] { return random(); },
            .gateways = [] { return 3; },
            .poll_interval = [] { return std::chrono::milliseconds(1); },
            .share = {},
            .is_reader = [this, i] { return IsReader(i); },
            .hand_over =
                [this, i](const std::string& service, const std::string& report,
                          const std::function<void(bool)>& callback) {
                  callback(i != 0 && controllers[0] &&
                           controllers[0]->OnEvidence(service, report));
                },
            .repeat_time = repeat_time});
    controllers[i]->OnOrder(order);
  }

  /// Reports the order's row with this number, in the store's present era, to
  /// all gateways.
  void ReportOrder(uint64_t number) {
    order.id = StoreVersion(number, store.era());
    store.SetOperatorRow(kOrderKey, number);
    for (const auto& controller : controllers) {
      if (controller) {
        controller->OnOrder(order);
      }
    }
  }
  /// The operator writes the order again.
  void RepeatOrder() { ReportOrder(store.AssignNumber()); }
  /// Reports to all gateways that the order has no row.
  void ReportNoOrder() {
    store.SetOperatorRow(kOrderKey, 0);
    for (const auto& controller : controllers) {
      controller->OnOrderRemoved(
          "s", StoreVersion(store.AssignNumber(), store.era()));
    }
  }

  /// Sends one request at each gateway. The version that serves it fails with
  /// its failure rate.
  void Serve() {
    for (const auto& controller : controllers) {
      if (!controller) {
        continue;
      }
      const RolloutRule rule = controller->RuleForRequest("s", "r");
      const bool is_new = rule.kind == RolloutRule::Kind::kPreferred;
      ++requests;
      new_requests += is_new ? 1 : 0;
      std::bernoulli_distribution fails(is_new ? new_rate : 0.02);
      controller->Observe("s", "r", is_new ? rule.version : "v1", fails(random),
                          std::chrono::milliseconds(30));
    }
  }

  /// Runs for `time` of the store's clock, with one request per gateway every
  /// 10 ms.
  void Run(Duration time) {
    for (Duration end = store.now + time; store.now < end;
         store.now += std::chrono::milliseconds(10)) {
      if (has_requests) {
        Serve();
      }
      loop.RunOnce(std::chrono::milliseconds(0));
      loop.RunOnce(std::chrono::milliseconds(2));
    }
  }

  bool IsReader(int i) const { return !has_relay || i == 0; }

  bool AllIn(RolloutPhase phase) const {
    return std::ranges::all_of(controllers, [phase](const auto& controller) {
      return !controller || controller->PhaseOf("s") == phase;
    });
  }

  EventLoop loop;
  SharedStore store{&loop};
  GatewayRows rows = platform::MakeGatewayRows();
  RolloutOrder order{.service = "s",
                     .version = "v2",
                     .duration = std::chrono::seconds(0),
                     .id = 50};
  /// Longest time for which a missing order is kept after a restore.
  Duration repeat_time = std::chrono::seconds(60);
  std::mt19937 random{3};
  double new_rate = 0.02;
  /// The first gateway reads the store for the others.
  bool has_relay;
  bool has_requests = true;
  int requests = 0;
  int new_requests = 0;
  std::vector<std::unique_ptr<RolloutController>> controllers;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TESTS_ROLLOUT_FLEET_H_
