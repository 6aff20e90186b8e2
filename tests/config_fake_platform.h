// In-memory platform for configuration tests that simulates lost requests, lost
// answers and outages. Answers are queued until Deliver().
#ifndef BRAMLEYBANK_TESTS_CONFIG_FAKE_PLATFORM_H_
#define BRAMLEYBANK_TESTS_CONFIG_FAKE_PLATFORM_H_

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "config_sync.h"
#include "platform_table.h"

namespace bramleybank::testing {

class ConfigFakePlatform : public PlatformTable {
 public:
  void Read(std::string_view key, ReadCallback callback) override {
    m_answers.emplace_back([this, key = std::string(key), callback] {
      const auto it = rows.find(key);
      if (down || unreadable) {
        callback({TableReadStatus::kUnavailable, {}});
      } else if (it == rows.end()) {
        callback({TableReadStatus::kNotFound, {}});
      } else {
        callback({TableReadStatus::kFound, {it->second, 1}});
      }
    });
  }

  void Write(std::string_view key,
             std::string_view value,
             uint64_t /*expected_version*/,
             WriteCallback callback) override {
    ++writes;
    const bool lost = lose_writes > 0;
    const bool lost_answer = !lost && lose_answers > 0;
    lose_writes -= lost ? 1 : 0;
    lose_answers -= lost_answer ? 1 : 0;
    TableWriteStatus status = TableWriteStatus::kNotWritten;
    if (lost) {
      status = TableWriteStatus::kUnknown;
    } else if (!down) {
      const bool written =
          rows.emplace(std::string(key), std::string(value)).second;
      status =
          written ? TableWriteStatus::kWritten : TableWriteStatus::kConflict;
    }
    status = lost_answer ? TableWriteStatus::kUnknown : status;
    m_answers.emplace_back([=] { callback({status, 1}); });
  }

  void ScanLog(uint64_t after,
               size_t limit,
               const ConfigSyncHooks::ScanCallback& callback) {
    m_answers.emplace_back([=, this] {
      if (down) {
        callback(std::nullopt);
        return;
      }
      std::vector<ConfigLogRow> found;
      for (auto it = rows.upper_bound(ConfigLogKey(after));
           it != rows.end() && found.size() < limit; ++it) {
        found.push_back({*ParseConfigLogKey(it->first), it->second});
      }
      callback(found);
    });
  }

  void ReadSnapshot(const ConfigSyncHooks::SnapshotCallback& callback) {
    m_answers.emplace_back([=, this] {
      if (down) {
        callback(SnapshotReadStatus::kUnavailable, "");
      } else if (snapshot.empty()) {
        callback(SnapshotReadStatus::kNotFound, "");
      } else {
        callback(SnapshotReadStatus::kFound, snapshot);
      }
    });
  }

  /// Delivers all queued answers, and the answers to the requests that they
  /// cause.
  void Deliver() {
    while (!m_answers.empty()) {
      const auto answer = std::move(m_answers.front());
      m_answers.pop_front();
      answer();
    }
  }

  /// Discards all queued answers.
  void DropAnswers() { m_answers.clear(); }

  std::map<std::string, std::string> rows;
  std::string snapshot;
  /// Reads and scans fail, and writes are refused.
  bool down = false;
  /// Reads of single rows fail; scans and writes work.
  bool unreadable = false;
  /// Number of next writes that have no effect and get no answer.
  int lose_writes = 0;
  /// Number of next writes that take effect but get no answer.
  int lose_answers = 0;
  int writes = 0;

 private:
  std::deque<std::function<void()>> m_answers;
};

/// @returns a change that adds the customer `name`.
inline ConfigChange AddCustomer(const std::string& name,
                                const std::string& id,
                                uint64_t number = 0) {
  return {.number = number,
          .id = id,
          .action = ConfigAction::kAdd,
          .subject = CustomerConfig{.name = name}};
}

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_CONFIG_FAKE_PLATFORM_H_
