// Reads a table page by page, and then waits for changes with long polls.
#include "store_watch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "event_loop.h"

namespace bramleybank {
namespace {

constexpr int kMaxDelayDoublings = 2;

}  // namespace

Duration MaxStoreWait(Duration max_silence) {
  return max_silence - kStoreWaitTimeout - kMaxStoreRetryDelay -
         kStoreWaitMargin;
}

StoreWatch::StoreWatch(EventLoop* loop,
                       MetadataStore* store,
                       std::string table,
                       StoreWatchTimes times,
                       StoreWatchHooks hooks)
    : m_loop(loop),
      m_store(store),
      m_table(std::move(table)),
      m_times(times),
      m_hooks(std::move(hooks)),
      m_alive(std::make_shared<StoreWatch*>(this)) {}

StoreWatch::~StoreWatch() {
  m_loop->Cancel(m_timer);
}

void StoreWatch::Start() {
  m_seen_keys.clear();
  m_read_after.clear();
  m_read_version = {};
  ReadNext();
}

void StoreWatch::ReadNext() {
  m_store->Read(m_table, m_read_after,
                [weak = std::weak_ptr(m_alive)](const StoreRows& rows) {
                  if (const auto self = weak.lock()) {
                    (*self)->OnRead(rows);
                  }
                });
}

void StoreWatch::OnRead(const StoreRows& rows) {
  if (rows.result != StoreResult::kOk) {
    OnFailure(rows.detail, &StoreWatch::ReadNext);
    return;
  }
  OnSuccess();
  if (m_read_version == StoreVersion()) {
    // Later pages may be newer. Waiting for changes after the version of the
    // first page misses none.
    m_read_version = rows.version;
    NoticeRestore();
  } else if (rows.version.era != m_read_version.era) {
    // The store was restored between two pages.
    Start();
    return;
  }
  for (const StoreRow& row : rows.rows) {
    m_seen_keys.insert(row.key);
    ApplyRow(row);
  }
  if (rows.has_more && !rows.rows.empty()) {
    m_read_after = rows.rows.back().key;
    ReadNext();
    return;
  }
  FinishRead();
}

void StoreWatch::NoticeRestore() {
  // Versions grow within an era. A lower one means a restore, also of a store
  // that states no era.
  const StoreVersion known = std::max(m_version, m_last_read);
  const bool is_restored =
      m_has_read && (m_read_version.era != known.era || m_read_version < known);
  m_has_read = true;
  m_last_read = m_read_version;
  if (!is_restored) {
    return;
  }
  for (auto& [key, version] : m_row_versions) {
    version = {};
  }
  if (m_hooks.on_restored) {
    m_hooks.on_restored();
  }
}

void StoreWatch::FinishRead() {
  std::vector<std::string> gone;
  for (const auto& [key, version] : m_row_versions) {
    if (!m_seen_keys.contains(key)) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    m_row_versions.erase(key);
    m_hooks.on_row({.key = key, .version = m_read_version, .deleted = true});
  }
  m_version = m_read_version;
  m_hooks.on_complete();
  Wait();
}

void StoreWatch::ApplyRow(const StoreRow& row) {
  const auto known = m_row_versions.find(row.key);
  if (known != m_row_versions.end() && row.version < known->second) {
    return;
  }
  if (row.deleted) {
    m_row_versions.erase(row.key);
  } else {
    m_row_versions.insert_or_assign(row.key, row.version);
  }
  m_hooks.on_row(row);
}

void StoreWatch::Wait() {
  m_store->WaitForChanges(
      m_table, m_version, m_times.wait,
      [weak = std::weak_ptr(m_alive)](const StoreRows& rows) {
        if (const auto self = weak.lock()) {
          (*self)->OnChanges(rows);
        }
      });
}

void StoreWatch::OnChanges(const StoreRows& rows) {
  const bool is_failure = rows.result != StoreResult::kOk &&
                          rows.result != StoreResult::kHistoryGone;
  if (is_failure) {
    OnFailure(rows.detail, &StoreWatch::Wait);
    return;
  }
  OnSuccess();
  if (rows.result == StoreResult::kHistoryGone ||
      rows.version.era != m_version.era) {
    Start();
    return;
  }
  for (const StoreRow& row : rows.rows) {
    ApplyRow(row);
  }
  m_version = std::max(m_version, rows.version);
  if (rows.rows.empty()) {
    Wait();
    return;
  }
  m_timer = m_loop->Schedule(m_times.pause, [this] { Wait(); });
}

void StoreWatch::OnSuccess() {
  if (m_failures > 0) {
    m_hooks.on_reachable(true, "");
  }
  m_failures = 0;
}

void StoreWatch::OnFailure(const std::string& detail,
                           void (StoreWatch::*retry)()) {
  if (m_failures == 0) {
    m_hooks.on_reachable(false, detail);
  }
  const Duration bound = std::min<Duration>(
      kMinStoreRetryDelay * (1 << std::min(m_failures, kMaxDelayDoublings)),
      kMaxStoreRetryDelay);
  ++m_failures;
  m_timer = m_loop->Schedule(EqualJitter(bound, m_hooks.random),
                             [this, retry] { (this->*retry)(); });
}

}  // namespace bramleybank
