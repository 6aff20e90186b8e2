// Calls to the best source, and answers to the gateways that use this one as
// their relay.
#include "relayed_store.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "bramleybank/limits.h"
#include "bramleybank/result_code.h"
#include "event_loop.h"
#include "log_event.h"
#include "metric_registry.h"
#include "relay_refusal.h"
#include "store_watch.h"

namespace bramleybank {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kStatusOk = 200;
constexpr int kStatusMalformed = 400;

Duration ShareOf(Duration bound, double share) {
  return duration_cast<Duration>(bound * share);
}

std::string_view NameOf(RelayStatus status) {
  switch (status) {
    case RelayStatus::kOk:
      return "ok";
    case RelayStatus::kHistoryGone:
      return "history_gone";
    case RelayStatus::kNotReader:
      return "not_reader";
    case RelayStatus::kStoreLost:
      return "store_lost";
    case RelayStatus::kUnknownSender:
      return "unknown_sender";
  }
  return "";
}

}  // namespace

Duration RelayWaitLimits::max_age() const {
  return std::max(store_wait, direct_wait) + kStoreWaitTimeout;
}

RelayWaitLimits RelayWaitLimitsFor(Duration bound) {
  return {
      .store_wait = std::clamp<Duration>(ShareOf(bound, kRelayStoreWaitShare),
                                         kMinRelayWait, kMaxRelayStoreWait),
      .relay_wait = std::clamp<Duration>(ShareOf(bound, kRelayWaitShare),
                                         kMinRelayWait, kMaxRelayWait),
      .direct_wait = std::max<Duration>(MaxStoreWait(bound), kMinRelayWait)};
}

RelayedStore::RelayedStore(EventLoop* loop,
                           MetadataStore* store,
                           RelaySelector* selector,
                           MetricRegistry* metrics,
                           std::string name,
                           const Tables& tables,
                           RelayWaitLimits wait_limits,
                           RelayedStoreHooks hooks)
    : m_loop(loop),
      m_store(store),
      m_selector(selector),
      m_metrics(metrics),
      m_name(std::move(name)),
      m_wait_limits(wait_limits),
      m_hooks(std::move(hooks)) {
  for (const auto& [table, read_mode] : tables) {
    m_tables[table].read_mode = read_mode;
  }
  m_wait_start_timer = m_loop->Schedule(kRelayDecisionTime, [this] {
    m_wait_start_timer = TimerHandle();
    OnMembersChanged();
  });
}

RelayedStore::~RelayedStore() {
  m_loop->Cancel(m_wait_start_timer);
  for (auto& [name, table] : m_tables) {
    for (const Waiter& waiter : table.waiters) {
      m_loop->Cancel(waiter.timer);
    }
  }
}

RelayedStore::Table* RelayedStore::FindTable(std::string_view name) {
  const auto it = m_tables.find(name);
  return it == m_tables.end() ? nullptr : &it->second;
}

void RelayedStore::Read(const std::string& table,
                        const std::string& after,
                        RowsCallback callback) {
  if (FindTable(table) == nullptr) {
    m_store->Read(table, after, std::move(callback));
    return;
  }
  auto call = std::make_shared<Call>();
  call->table = table;
  call->after = after;
  call->callback = std::move(callback);
  StartCall(call);
}

void RelayedStore::WaitForChanges(const std::string& table,
                                  const StoreVersion& version,
                                  Duration wait,
                                  RowsCallback callback) {
  if (FindTable(table) == nullptr) {
    m_store->WaitForChanges(table, version, wait, std::move(callback));
    return;
  }
  auto call = std::make_shared<Call>();
  call->table = table;
  call->version = version;
  call->is_wait = true;
  call->wait = wait;
  call->callback = std::move(callback);
  if (m_waits_enabled) {
    StartCall(call);
  } else {
    m_deferred_waits.push_back(call);
  }
}

void RelayedStore::Write(const StoreWrite& write, WriteCallback callback) {
  m_store->Write(write, std::move(callback));
}

void RelayedStore::OnMembersChanged() {
  m_waits_enabled = true;
  for (const CallPtr& call : std::exchange(m_deferred_waits, {})) {
    StartCall(call);
  }
}

void RelayedStore::StartCall(const CallPtr& call) {
  call->sources = m_selector->Sources();
  TryNextSource(call);
}

void RelayedStore::TryNextSource(const CallPtr& call) {
  if (call->next == call->sources.size()) {
    call->callback({.detail = call->detail});
    return;
  }
  const RowSource source = call->sources[call->next++];
  if (!source.is_store()) {
    AskRelay(call, source);
  } else if (call->next == 1) {
    AskStore(call);
  } else {
    // The relay has failed for its other followers too, so their calls to the
    // store are spread over time.
    const auto spread =
        static_cast<uint64_t>(Duration(kRelayFallbackSpread).count());
    m_loop->Schedule(Duration(static_cast<int64_t>(m_hooks.random() % spread)),
                     WhileAlive([this, call] { AskStore(call); }));
  }
}

void RelayedStore::AskStore(const CallPtr& call) {
  const auto on_rows = WhileAlive(
      [this, call](const StoreRows& rows) { OnStoreRows(call, rows); });
  if (!call->is_wait) {
    m_store->Read(call->table, call->after, on_rows);
    return;
  }
  const Duration max_wait = m_selector->IsRelayed() ? m_wait_limits.store_wait
                                                    : m_wait_limits.direct_wait;
  m_store->WaitForChanges(call->table, call->version,
                          std::min(call->wait, max_wait), on_rows);
}

void RelayedStore::OnStoreRows(const CallPtr& call, const StoreRows& rows) {
  const RowSource store;
  if (rows.result == StoreResult::kOk ||
      rows.result == StoreResult::kHistoryGone) {
    m_selector->OnSuccess(store);
    Deliver(call, store, rows, Duration{0});
    return;
  }
  m_selector->OnFailure(store);
  Table* table = FindTable(call->table);
  table->is_read_from_store = false;
  RefuseWaiters(table, RelayStatus::kStoreLost);
  call->detail = rows.detail;
  TryNextSource(call);
}

void RelayedStore::AskRelay(const CallPtr& call, const RowSource& source) {
  const Duration wait = call->is_wait
                            ? std::min(call->wait, m_wait_limits.relay_wait)
                            : Duration{0};
  const RelayQuery query{.sender = m_name,
                         .table = call->table,
                         .wait_ms = static_cast<uint32_t>(
                             duration_cast<milliseconds>(wait).count()),
                         .version = call->version.number,
                         .after = call->after,
                         .era = call->version.era};
  m_hooks.call(source.relay, kPathRelayRows, EncodeRelayMessage(query),
               wait + kRelayTimeout,
               WhileAlive([this, call, source](const std::string* body) {
                 OnRelayAnswer(call, source, body);
               }));
}

void RelayedStore::OnRelayAnswer(const CallPtr& call,
                                 const RowSource& source,
                                 const std::string* body) {
  auto answer =
      body == nullptr ? std::nullopt : DecodeRelayMessage<RelayAnswer>(*body);
  const Table* table = FindTable(call->table);
  if (answer && answer->status == RelayStatus::kHistoryGone && call->is_wait) {
    m_selector->OnSuccess(source);
    call->callback({.result = StoreResult::kHistoryGone});
    return;
  }
  const Duration age = answer ? milliseconds(answer->age_ms) : milliseconds(0);
  // A read must not return to an older state than this gateway already has, and
  // a wait must not return to an older era.
  const bool is_older =
      answer && answer->status == RelayStatus::kOk &&
      (call->is_wait ? answer->version.era < table->seen_version.era
                     : answer->version < table->seen_version);
  if (answer && answer->status == RelayStatus::kOk && !is_older &&
      age <= m_wait_limits.max_age()) {
    m_selector->OnSuccess(source);
    Deliver(call, source,
            {.result = StoreResult::kOk,
             .rows = std::move(answer->rows),
             .version = answer->version,
             .has_more = answer->has_more},
            age);
    return;
  }
  call->detail = !answer                              ? "relay did not answer"
                 : answer->status != RelayStatus::kOk ? NameOf(answer->status)
                                                      : "relay is out of date";
  if (answer && !is_older && table->read_mode == ReadMode::kPolled) {
    // The relay has not read this table yet, or not recently. It may still
    // serve the other tables, so this does not count as a failure.
    call->callback({.detail = call->detail});
    return;
  }
  // A relay that lost the store is asked again without a pause: that is cheap,
  // and the relay notices first when the store is back.
  if (!answer || answer->status != RelayStatus::kStoreLost) {
    m_selector->OnFailure(source);
  }
  TryNextSource(call);
}

void RelayedStore::Deliver(const CallPtr& call,
                           const RowSource& source,
                           const StoreRows& rows,
                           Duration age) {
  Table* table = FindTable(call->table);
  RecordSource(*call, table, source, age);
  if (rows.result == StoreResult::kOk) {
    if (UpdateCache(*call, table, rows)) {
      table->store_answered_at = m_hooks.age_clock() - age;
    }
    // A read of the store itself is right whatever version it states.
    const bool is_read = source.is_store() && !call->is_wait;
    table->seen_version =
        is_read ? rows.version : std::max(table->seen_version, rows.version);
    AnswerWaiters(table);
  }
  call->callback(rows);
}

void RelayedStore::RecordSource(const Call& call,
                                Table* table,
                                const RowSource& source,
                                Duration age) {
  m_metrics->Count("bramleybank_row_calls_total", "source",
                   source.is_store() ? "store" : "relay");
  m_metrics->Observe("bramleybank_row_age_seconds",
                     std::chrono::duration<double>(age).count());
  const bool was_read_from_store = table->is_read_from_store;
  table->is_read_from_store = source.is_store();
  if (was_read_from_store && !table->is_read_from_store) {
    RefuseWaiters(table, RelayStatus::kNotReader);
  }
  if (table->source == source) {
    return;
  }
  table->source = source;
  LogLine(LogEventId::kRowSource)
      .Field("table", call.table)
      .Field("source", source.is_store() ? "store" : source.relay)
      .Field("age_ms", duration_cast<milliseconds>(age).count())
      .Field("reason", call.detail.empty() ? "members" : call.detail);
}

bool RelayedStore::UpdateCache(const Call& call,
                               Table* table,
                               const StoreRows& rows) {
  return call.is_wait ? table->cache.AddChanges(call.version, rows)
                      : table->cache.AddPage(call.after.empty(), rows);
}

Duration RelayedStore::AgeOf(const Table& table) const {
  return std::max(Duration{0}, m_hooks.age_clock() - table.store_answered_at);
}

void RelayedStore::CountServed(RelayStatus status) {
  m_metrics->Count(kRelayAnswersMetric, "result", NameOf(status));
}

void RelayedStore::Serve(
    std::string_view body,
    std::function<void(int status, std::string body)> reply) {
  const auto query = DecodeRelayMessage<RelayQuery>(body);
  if (!query) {
    ReportMalformedMessage(m_metrics, body.size());
    reply(kStatusMalformed, {});
    return;
  }
  const auto refuse = [&](RelayStatus status) {
    CountServed(status);
    reply(kStatusOk, EncodeRelayMessage(RelayAnswer{.status = status}));
  };
  Table* table = FindTable(query->table);
  if (!m_selector->IsMember(query->sender)) {
    ReportUnknownSender(m_metrics, query->sender);
    reply(kStatusOk, EncodeRelayMessage(
                         RelayAnswer{.status = RelayStatus::kUnknownSender}));
    m_hooks.on_unknown_sender();
  } else if (table == nullptr || !table->is_read_from_store ||
             !table->cache.is_complete() ||
             query->era.value_or(0) > table->cache.version().era) {
    refuse(RelayStatus::kNotReader);
  } else if (query->wait_ms > 0) {
    ServeWait(table, *query, std::move(reply));
  } else {
    const RelayAnswer answer = AnswerRead(*table, *query);
    CountServed(answer.status);
    reply(kStatusOk, EncodeRelayMessage(answer));
  }
}

RelayAnswer RelayedStore::MakeAnswer(const Table& table, StoreRows rows) const {
  return {.status = RelayStatus::kOk,
          .age_ms = static_cast<uint32_t>(
              duration_cast<milliseconds>(AgeOf(table)).count()),
          .version = rows.version,
          .has_more = rows.has_more,
          .rows = std::move(rows.rows)};
}

RelayAnswer RelayedStore::AnswerRead(const Table& table,
                                     const RelayQuery& query) const {
  if (AgeOf(table) > m_wait_limits.max_age()) {
    return {.status = RelayStatus::kStoreLost};
  }
  return MakeAnswer(table, table.cache.PageAfter(query.after));
}

RelayAnswer RelayedStore::AnswerChanges(const Table& table,
                                        const StoreVersion& version) const {
  auto changes = table.cache.ChangesAfter(version);
  if (!changes) {
    return {.status = RelayStatus::kHistoryGone};
  }
  return MakeAnswer(table, *std::move(changes));
}

void RelayedStore::ServeWait(
    Table* table,
    const RelayQuery& query,
    std::function<void(int status, std::string body)> reply) {
  // Earlier releases do not send an era; they order versions by number.
  const StoreVersion version(query.version,
                             query.era.value_or(table->cache.version().era));
  const RelayAnswer now = AnswerChanges(*table, version);
  const bool is_full = table->waiters.size() >= kMaxRelayWaiters;
  if (now.status != RelayStatus::kOk || !now.rows.empty() || is_full) {
    CountServed(now.status);
    reply(kStatusOk, EncodeRelayMessage(now));
    return;
  }
  const auto waiter = table->waiters.insert(
      table->waiters.end(),
      {.version = version, .timer = {}, .reply = std::move(reply)});
  const Duration wait =
      std::min<Duration>(milliseconds(query.wait_ms), kMaxRelayWait);
  waiter->timer = m_loop->Schedule(wait, [this, table, waiter] {
    const RelayAnswer answer = AnswerChanges(*table, waiter->version);
    CountServed(answer.status);
    const auto answer_fn = std::move(waiter->reply);
    table->waiters.erase(waiter);
    answer_fn(kStatusOk, EncodeRelayMessage(answer));
  });
}

void RelayedStore::AnswerWaiters(Table* table) {
  // Most followers wait at the same version, so each answer is encoded only
  // once.
  struct Encoded {
    RelayAnswer answer;
    std::string bytes;
  };
  std::map<StoreVersion, Encoded> by_version;
  for (auto it = table->waiters.begin(); it != table->waiters.end();) {
    const auto [encoded, is_new] = by_version.try_emplace(it->version);
    Encoded& found = encoded->second;
    if (is_new) {
      found.answer = AnswerChanges(*table, it->version);
      found.bytes = EncodeRelayMessage(found.answer);
    }
    if (found.answer.status == RelayStatus::kOk && found.answer.rows.empty()) {
      ++it;
      continue;
    }
    m_loop->Cancel(it->timer);
    CountServed(found.answer.status);
    const auto reply = std::move(it->reply);
    it = table->waiters.erase(it);
    reply(kStatusOk, found.bytes);
  }
}

void RelayedStore::RefuseWaiters(Table* table, RelayStatus status) {
  for (const Waiter& waiter : std::exchange(table->waiters, {})) {
    m_loop->Cancel(waiter.timer);
    CountServed(status);
    waiter.reply(kStatusOk, EncodeRelayMessage(RelayAnswer{.status = status}));
  }
}

}  // namespace bramleybank
