// Core of the engine stand-in, independent of HTTP routes.
#include "standin_engine_core.h"

#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "answer_chain.h"
#include "event_loop.h"
#include "http_responder.h"
#include "standin_engine_stream.h"

namespace bramleybank::standin {
namespace {

constexpr Duration kMaxLoadSampleInterval = std::chrono::milliseconds(100);
constexpr Duration kMinLoadSampleInterval = std::chrono::milliseconds(10);
constexpr int kFaultExitCode = 70;

/// The address is part of the seed, so that two engines whose settings differ
/// only in the address sample different tokens.
uint64_t DeriveSeed(const EngineSettings& settings) {
  if (settings.seed == 0) {
    std::random_device device;
    return (uint64_t{device()} << 32U) | device();
  }
  const std::string address = settings.ip + ":" + std::to_string(settings.port);
  return XXH64(address.data(), address.size(), settings.seed);
}

}  // namespace

EngineCore::EngineCore(EventLoop* loop, const EngineSettings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_random(DeriveSeed(settings)),
      m_process_nonce(m_random()),
      m_batch({.slots = settings.slots,
               .token_interval = settings.token_interval,
               .knee = settings.batch_knee,
               .slope = settings.batch_slope,
               .prefill_tokens_per_s = settings.prefill_tokens_per_s}),
      m_cache(static_cast<uint64_t>(settings.cache_tokens),
              settings.cache_event_gap_every),
      m_load_history(settings.load_report_lag) {
  SampleLoad();
}

EngineCore::~EngineCore() {
  m_loop->Cancel(m_step_timer);
  m_loop->Cancel(m_load_timer);
  for (auto& [generation, entry] : m_streams) {
    m_loop->Cancel(entry.hold_timer);
  }
}

std::string EngineCore::NewGenerationId() {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(m_random()));
  return text;
}

uint16_t EngineCore::DeriveNonce(const EngineRequest& request) const {
  const std::string name =
      request.generation + "/" + std::to_string(request.attempt);
  return static_cast<uint16_t>(
      XXH64(name.data(), name.size(), m_process_nonce));
}

EngineStatus EngineCore::Start(
    const EngineRequest& request,
    const std::shared_ptr<HttpResponder>& responder) {
  const auto old = m_streams.find(request.generation);
  if (old != m_streams.end() &&
      request.attempt <= old->second.stream->attempt()) {
    return EngineStatus::kStaleAttempt;
  }
  const RequestEffect effect = m_faults.OnRequest(
      m_settings.version, request.prompt,
      static_cast<int64_t>(m_batch.running() + m_batch.waiting()),
      m_loop->Now());
  if (effect.fail) {
    return EngineStatus::kVersionFault;
  }
  const uint64_t run = m_next_run++;
  std::shared_ptr<EngineStream> stream = MakeStream(request, effect, run);
  if (!stream) {
    return EngineStatus::kBadResume;
  }
  if (old != m_streams.end()) {
    if (!m_faults.keeps_old_readers()) {
      CancelStream(&old->second);
    }
    m_loop->Cancel(old->second.hold_timer);
    m_streams.erase(old);
  }
  m_streams[request.generation] = {.stream = stream, .run = run};
  stream->Attach(responder, request.attempt, request.resume_tokens.size(),
                 false);
  StartRun(request, std::move(stream), effect.slowdown, run);
  return EngineStatus::kOk;
}

std::shared_ptr<EngineStream> EngineCore::MakeStream(
    const EngineRequest& request,
    const RequestEffect& effect,
    uint64_t run) {
  EngineStreamSpec spec;
  spec.generation = request.generation;
  spec.version = m_settings.version;
  spec.attempt = request.attempt;
  spec.max_tokens = request.max_tokens;
  spec.nonce = DeriveNonce(request);
  spec.initial_chain = InitialChainHash(m_settings.model, m_settings.version,
                                        m_settings.adapter, request.prompt);
  spec.wrong_after = effect.wrong_after;
  spec.fault = m_faults.TakeStreamFault(request.generation);
  EngineStream::Hooks hooks;
  hooks.now = [loop = m_loop] { return loop->Now(); };
  hooks.on_readers_gone = [this, generation = request.generation, run] {
    StartHoldTimer(generation, run);
  };
  hooks.exit_process = [] { _exit(kFaultExitCode); };
  auto stream =
      std::make_shared<EngineStream>(std::move(spec), std::move(hooks));
  for (const std::string& text : request.resume_tokens) {
    if (stream->is_complete() || !stream->AddResumeToken(text)) {
      return nullptr;
    }
  }
  return stream;
}

void EngineCore::StartRun(const EngineRequest& request,
                          std::shared_ptr<EngineStream> stream,
                          double slowdown,
                          uint64_t run) {
  const uint64_t resumed = request.resume_tokens.size();
  ++(resumed > 0 ? m_counters.resumed : m_counters.started);
  if (stream->is_complete()) {
    StartHoldTimer(request.generation, run);
    return;
  }
  const uint64_t cached =
      std::min(m_cache.LookUpAndStore(request.prompt, m_loop->Now()),
               CountPromptTokens(request.prompt));
  const uint64_t prefill = CountPromptTokens(request.prompt) - cached + resumed;
  m_counters.cached_tokens += cached;
  m_runs[run] = {.stream = std::move(stream),
                 .prefill_tokens = prefill,
                 .slowdown = slowdown};
  m_batch.Enqueue(run, request.priority);
  AdmitRuns();
}

void EngineCore::AdmitRuns() {
  for (const uint64_t id : m_batch.Admit()) {
    Run& run = m_runs.at(id);
    run.admitted = true;
    run.ready_at =
        m_batch.StartPrefill(m_loop->Now(), run.prefill_tokens, run.slowdown);
    m_counters.prefill_tokens += run.prefill_tokens;
  }
  ScheduleStep();
}

void EngineCore::EndRun(uint64_t run) {
  if (m_runs.erase(run) > 0) {
    m_batch.Remove(run);
    AdmitRuns();
  }
}

void EngineCore::ScheduleStep() {
  m_loop->Cancel(m_step_timer);
  m_step_timer = TimerHandle();
  if (m_batch.running() == 0) {
    return;
  }
  TimePoint ready = TimePoint::max();
  for (const auto& [id, run] : m_runs) {
    if (run.admitted) {
      ready = std::min(ready, run.ready_at);
    }
  }
  const TimePoint due = std::max(m_last_step + m_batch.StepInterval(), ready);
  m_step_timer = m_loop->Schedule(due - m_loop->Now(), [this] { Step(); });
}

void EngineCore::Step() {
  m_last_step = m_loop->Now();
  std::vector<uint64_t> ended;
  for (auto& [id, run] : m_runs) {
    if (run.admitted && run.ready_at <= m_last_step) {
      StepRun(id, &run);
    }
    if (run.stream->is_complete()) {
      ended.push_back(id);
    }
  }
  for (const uint64_t id : ended) {
    ++m_counters.finished;
    const std::string generation = m_runs.at(id).stream->generation();
    m_runs.erase(id);
    m_batch.Remove(id);
    StartHoldTimer(generation, id);
  }
  AdmitRuns();
}

void EngineCore::StepRun(uint64_t /*id*/, Run* run) {
  if (run->stream->is_frozen()) {
    return;
  }
  run->credit += 1 / run->slowdown;
  if (run->credit >= 1) {
    run->credit -= 1;
    ++m_counters.tokens;
    run->stream->Generate();
  }
}

EngineStatus EngineCore::Attach(
    const std::string& generation,
    uint32_t attempt,
    uint64_t after,
    const std::shared_ptr<HttpResponder>& responder) {
  const auto it = m_streams.find(generation);
  if (it == m_streams.end()) {
    return EngineStatus::kUnknownStream;
  }
  StreamEntry& entry = it->second;
  if (attempt <= entry.stream->attempt()) {
    return EngineStatus::kStaleAttempt;
  }
  if (entry.cancelled) {
    return EngineStatus::kUnknownStream;
  }
  if (after > entry.stream->size()) {
    return EngineStatus::kBadResume;
  }
  ++m_counters.attached;
  m_loop->Cancel(entry.hold_timer);
  entry.stream->Attach(responder, attempt, after, m_faults.keeps_old_readers());
  return EngineStatus::kOk;
}

EngineStatus EngineCore::Cancel(const std::string& generation,
                                uint32_t attempt) {
  const auto it = m_streams.find(generation);
  if (it == m_streams.end() || it->second.cancelled) {
    return EngineStatus::kUnknownStream;
  }
  if (attempt < it->second.stream->attempt()) {
    return EngineStatus::kStaleAttempt;
  }
  ++m_counters.cancelled;
  CancelStream(&it->second);
  StartHoldTimer(generation, it->second.run);
  return EngineStatus::kOk;
}

void EngineCore::CancelStream(StreamEntry* entry) {
  // The entry is kept for the hold time, so that late requests of an older
  // attempt are refused.
  entry->cancelled = true;
  entry->stream->Disconnect();
  EndRun(entry->run);
}

void EngineCore::StartHoldTimer(const std::string& generation, uint64_t run) {
  const auto it = m_streams.find(generation);
  if (it == m_streams.end() || it->second.run != run) {
    return;
  }
  m_loop->Cancel(it->second.hold_timer);
  it->second.hold_timer = m_loop->Schedule(
      m_settings.hold_time, [this, generation] { OnHoldTimeout(generation); });
}

void EngineCore::OnHoldTimeout(const std::string& generation) {
  const auto it = m_streams.find(generation);
  if (it == m_streams.end() || it->second.stream->has_reader()) {
    return;
  }
  const uint64_t run = it->second.run;
  if (m_runs.contains(run)) {
    ++m_counters.expired;
  }
  m_streams.erase(it);
  EndRun(run);
}

void EngineCore::SampleLoad() {
  m_load_history.Record({.time = m_loop->Now(),
                         .running = m_batch.running(),
                         .waiting = m_batch.waiting(),
                         .tokens = m_counters.tokens});
  const Duration interval =
      std::clamp(m_settings.load_report_lag / 5, kMinLoadSampleInterval,
                 kMaxLoadSampleInterval);
  m_load_timer = m_loop->Schedule(interval, [this] { SampleLoad(); });
}

int EngineCore::RunCommand(const nlohmann::json& command,
                           uint64_t fencing_number) {
  if (m_settings.checks_fencing && fencing_number < m_fencing_number) {
    ++m_commands_refused;
    return 409;
  }
  const std::string kind = command.value("command", "");
  const std::string name = command.value("name", "");
  if (kind == "load_version") {
    m_settings.version = name;
  } else if (kind == "load_model") {
    m_settings.model = name;
  } else if (kind == "load_adapter") {
    m_settings.adapter = name;
  } else if (kind == "set_role") {
    m_role = name;
  } else {
    return 400;
  }
  m_fencing_number = std::max(m_fencing_number, fencing_number);
  ++m_commands;
  return 200;
}

bool EngineCore::ApplyControl(const nlohmann::json& control,
                              std::string* error) {
  return m_faults.Apply(control, m_loop->Now(), error);
}

nlohmann::json EngineCore::Load() const {
  const LoadReport report = m_load_history.Report(m_loop->Now());
  return {
      {"running", report.running},           {"waiting", report.waiting},
      {"tokens_per_s", report.tokens_per_s}, {"slots", m_settings.slots},
      {"versions", {m_settings.version}},    {"leaving", m_faults.is_leaving()},
      {"age_ms", report.age.count() / 1000}};
}

nlohmann::json EngineCore::CacheEvents(uint64_t after) const {
  auto events = nlohmann::json::array();
  uint64_t last = after;
  for (const CacheEvent& event :
       m_cache.Events(after, m_loop->Now() - m_settings.cache_event_lag)) {
    char block[17];
    std::snprintf(block, sizeof(block), "%016llx",
                  static_cast<unsigned long long>(event.block));
    events.push_back({{"sequence", event.sequence},
                      {"kind", event.added ? "added" : "removed"},
                      {"block", block},
                      {"tokens", kCacheBlockTokens}});
    last = event.sequence;
  }
  return {{"events", std::move(events)}, {"last", last}};
}

nlohmann::json EngineCore::Stats() const {
  return {{"tokens_generated", m_counters.tokens},
          {"prefill_tokens", m_counters.prefill_tokens},
          {"cached_tokens", m_counters.cached_tokens},
          {"streams_started", m_counters.started},
          {"streams_resumed", m_counters.resumed},
          {"streams_attached", m_counters.attached},
          {"streams_cancelled", m_counters.cancelled},
          {"streams_expired", m_counters.expired},
          {"streams_finished", m_counters.finished},
          {"streams_held", m_streams.size()},
          {"running", m_batch.running()},
          {"waiting", m_batch.waiting()},
          {"commands", m_commands},
          {"commands_refused", m_commands_refused},
          {"fencing_number", m_fencing_number},
          {"model", m_settings.model},
          {"version", m_settings.version},
          {"adapter", m_settings.adapter},
          {"role", m_role}};
}

}  // namespace bramleybank::standin
