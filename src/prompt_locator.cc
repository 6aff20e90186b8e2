// Concurrent lookups share one read of the table. Writes are delayed so that
// all streams that start within an interval share one write.
#include "prompt_locator.h"

#include <algorithm>
#include <utility>

#include "bramleybank/limits.h"
#include "event_loop.h"

namespace bramleybank {

PromptLocator::PromptLocator(EventLoop* loop,
                             MetadataStore* store,
                             std::string name,
                             PromptLocatorHooks hooks)
    : m_loop(loop),
      m_store(store),
      m_name(std::move(name)),
      m_hooks(std::move(hooks)),
      m_alive(std::make_shared<PromptLocator*>(this)) {}

PromptLocator::~PromptLocator() {
  m_loop->Cancel(m_lookup_timer);
  m_loop->Cancel(m_write_timer);
}

void PromptLocator::Start() {
  Read();
}

void PromptLocator::OnStreamStarted(std::string_view prompt_parts,
                                    std::string_view endpoint_id) {
  const PromptHash prompt = HashPrompt(prompt_parts);
  m_own.Add(prompt, endpoint_id, m_loop->Now());
  m_unpublished.Add(prompt, endpoint_id, m_loop->Now());
  ScheduleWrite();
}

void PromptLocator::OnHandedOver(std::string_view row) {
  m_own.Update(row, m_loop->Now());
  ScheduleWrite();
}

void PromptLocator::Find(
    std::string_view prompt_parts,
    std::function<void(const std::string& endpoint_id)> callback) {
  Find(HashPrompt(prompt_parts), std::move(callback));
}

void PromptLocator::Find(
    PromptHash prompt,
    std::function<void(const std::string& endpoint_id)> callback) {
  const std::string known = FindKnown(prompt);
  const bool is_fresh =
      m_is_loaded && m_loop->Now() - m_read_at < kPromptTableFreshness;
  if (!known.empty() || (is_fresh && !m_is_reading)) {
    callback(known);
    return;
  }
  if (!m_hooks.is_reader()) {
    m_hooks.query_reader(prompt, std::move(callback));
    return;
  }
  m_lookups.push_back({.prompt = prompt, .callback = std::move(callback)});
  if (!m_lookup_timer.is_valid()) {
    m_lookup_timer = m_loop->Schedule(kPromptLookupTimeout, [this] {
      m_lookup_timer = TimerHandle();
      FinishLookups();
    });
  }
  Read();
}

std::string PromptLocator::FindKnown(PromptHash prompt) const {
  for (const PromptLocations* known : {&m_own, &m_others, &m_earlier_others}) {
    std::string endpoint_id = known->Find(prompt);
    if (!endpoint_id.empty()) {
      return endpoint_id;
    }
  }
  return "";
}

void PromptLocator::Read() {
  if (m_is_reading) {
    return;
  }
  m_is_reading = true;
  m_store->Read(kPromptTable, "",
                [weak = std::weak_ptr(m_alive)](const StoreRows& rows) {
                  if (const auto self = weak.lock()) {
                    (*self)->OnRows(rows);
                  }
                });
}

void PromptLocator::OnRows(const StoreRows& rows) {
  m_is_reading = false;
  if (rows.result == StoreResult::kOk) {
    const TimePoint now = m_loop->Now();
    m_read_at = now;
    PromptLocations others = std::exchange(m_others, {});
    if (m_is_loaded && rows.version.era != m_era) {
      m_earlier_others = std::move(others);
    }
    m_era = rows.version.era;
    m_earlier_others.EvictOld(now);
    for (const StoreRow& row : rows.rows) {
      if (row.key != m_name) {
        m_others.Merge(row.value, now);
      } else if (!m_is_loaded) {
        // Later it contains nothing that m_own lacks, but after a restore old
        // entries that m_own has evicted.
        m_own.Merge(row.value, now);
      }
    }
    m_is_loaded = true;
    if (m_own.size() > 0) {
      ScheduleWrite();
    }
  }
  FinishLookups();
}

void PromptLocator::FinishLookups() {
  m_loop->Cancel(m_lookup_timer);
  m_lookup_timer = TimerHandle();
  for (const Lookup& lookup : std::exchange(m_lookups, {})) {
    lookup.callback(FindKnown(lookup.prompt));
  }
}

void PromptLocator::OnStoreRestored() {
  if (m_hooks.is_reader() && m_own.size() > 0) {
    ScheduleWrite(Spread(m_hooks.interval(), m_hooks.random));
  }
}

void PromptLocator::ScheduleWrite(Duration min_delay) {
  if (m_write_timer.is_valid()) {
    return;
  }
  const Duration since = m_loop->Now() - m_written_at;
  m_write_timer =
      m_loop->Schedule(std::max(m_hooks.interval() - since, min_delay), [this] {
        m_write_timer = TimerHandle();
        Publish();
      });
}

void PromptLocator::Publish() {
  m_written_at = m_loop->Now();
  if (m_hooks.is_reader()) {
    WriteRow();
  } else if (m_unpublished.size() > 0) {
    HandOver();
  }
}

void PromptLocator::HandOver() {
  std::string row = m_unpublished.Encode();
  m_unpublished = {};
  m_hooks.hand_over(row, [weak = std::weak_ptr(m_alive), row](bool taken) {
    const auto self = weak.lock();
    if (self && !taken) {
      (*self)->m_unpublished.Merge(row, (*self)->m_loop->Now());
      (*self)->ScheduleWrite();
    }
  });
}

void PromptLocator::WriteRow() {
  if (!m_is_loaded) {
    Read();
    ScheduleWrite();
    return;
  }
  m_unpublished = {};
  m_own.EvictOld(m_written_at);
  m_store->Write({.table = kPromptTable,
                  .key = m_name,
                  .value = m_own.Encode(),
                  .expected_version = std::nullopt},
                 [weak = std::weak_ptr(m_alive)](StoreResult result) {
                   const auto self = weak.lock();
                   if (self && result != StoreResult::kOk) {
                     (*self)->ScheduleWrite();
                   }
                 });
}

}  // namespace bramleybank
