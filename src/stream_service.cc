// Creates, finds and ends stream runners.
#include "stream_service.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "event_loop.h"
#include "http_refusal.h"
#include "http_responder.h"
#include "log_event.h"
#include "metric_registry.h"

namespace bramleybank {

/// A resume that waits for replies from the former owner of the stream and from
/// the holder of its copy.
struct StreamService::PendingResume {
  GenerationRequest request;
  StreamCursor cursor;
  std::shared_ptr<HttpResponder> responder;
  int pending_replies = 0;
  bool started = false;
  // Number of the first attempt here: the highest of the numbers that the
  // replies state and the one after the attempt in the cursor.
  uint32_t attempt = 0;
  // Best reply so far. The holder's is preferred to the former owner's.
  std::optional<StreamSnapshot> snapshot;
};

StreamService::StreamService(StreamEnvironment environment,
                             StreamRecoveryHooks recovery)
    : m_environment(std::move(environment)), m_recovery(std::move(recovery)) {
  assert(m_environment.loop && m_environment.client && m_environment.metrics);
  assert(m_environment.choose_engine && m_environment.random);
}

StreamService::~StreamService() = default;

std::function<void()> StreamService::MakeRemovalCallback(uint64_t generation) {
  return [this, generation] { m_runners.erase(generation); };
}

void StreamService::Add(std::unique_ptr<StreamRunner> runner) {
  StreamRunner* added = runner.get();
  m_runners[added->generation()] = std::move(runner);
  added->Start();
}

StreamRunner* StreamService::Find(uint64_t generation) {
  const auto it = m_runners.find(generation);
  return it == m_runners.end() ? nullptr : it->second.get();
}

void StreamService::Create(GenerationRequest request,
                           std::shared_ptr<HttpResponder> responder,
                           std::shared_ptr<AdmissionLease> lease) {
  StreamInitialState start;
  start.generation = m_environment.random();
  const uint64_t generation = start.generation;
  Add(std::make_unique<StreamRunner>(
      &m_environment, std::move(request), std::move(start), std::nullopt,
      std::move(responder), std::move(lease), MakeRemovalCallback(generation)));
}

void StreamService::Resume(GenerationRequest request,
                           const StreamCursor& cursor,
                           std::shared_ptr<HttpResponder> responder) {
  m_environment.metrics->Count("bramleybank_reconnects_total");
  if (request.body_hash != cursor.request_hash) {
    RefuseResume(responder.get(), ResultCode::kRequestMismatch,
                 "the id belongs to a request with a different body",
                 cursor.position);
    return;
  }
  if (StreamRunner* runner = Find(cursor.generation)) {
    ReattachOrRefuse(runner, responder, cursor.position);
    return;
  }
  auto pending = std::make_shared<PendingResume>();
  pending->request = std::move(request);
  pending->cursor = cursor;
  pending->attempt = cursor.attempt + 1;
  pending->responder = std::move(responder);
  const bool ask_copy = !cursor.copy_holder.empty() && m_recovery.claim_copy;
  const bool ask_owner =
      cursor.owner != m_environment.self && m_recovery.release_owner;
  pending->pending_replies = (ask_copy ? 1 : 0) + (ask_owner ? 1 : 0);
  if (pending->pending_replies == 0) {
    StartResumed(*pending, std::nullopt);
    return;
  }
  if (ask_copy) {
    m_recovery.claim_copy(cursor, [this, pending](auto snapshot) {
      OnSnapshot(pending, true, std::move(snapshot));
    });
  }
  if (ask_owner) {
    m_recovery.release_owner(cursor, [this, pending](auto snapshot) {
      OnSnapshot(pending, false, std::move(snapshot));
    });
  }
}

void StreamService::OnSnapshot(const std::shared_ptr<PendingResume>& pending,
                               bool is_copy,
                               std::optional<StreamSnapshot> snapshot) {
  --pending->pending_replies;
  if (pending->started) {
    return;
  }
  if (snapshot) {
    pending->attempt = std::max(pending->attempt, snapshot->attempt);
  }
  const bool covers_position =
      snapshot && snapshot->tokens.size() >= pending->cursor.position;
  // The holder of the copy issues the attempt number, so its tokens are
  // preferred.
  if (covers_position && (is_copy || !pending->snapshot)) {
    pending->snapshot = std::move(snapshot);
  }
  const bool copy_answered = is_copy && covers_position;
  if (copy_answered || pending->pending_replies == 0) {
    pending->started = true;
    StartResumed(*pending, pending->snapshot);
  }
}

void StreamService::StartResumed(
    const PendingResume& pending,
    const std::optional<StreamSnapshot>& snapshot) {
  const StreamCursor& cursor = pending.cursor;
  // The caller may have reconnected twice before the replies arrived.
  if (StreamRunner* runner = Find(cursor.generation)) {
    ReattachOrRefuse(runner, pending.responder, cursor.position);
    return;
  }
  StreamInitialState start;
  start.generation = cursor.generation;
  start.delivered = cursor.position;
  start.attach = true;
  start.first_attempt = pending.attempt;
  StreamBinding binding;
  binding.engine = snapshot ? snapshot->engine : cursor.engine;
  if (snapshot) {
    start.tokens = snapshot->tokens;
    binding.copy_holder = snapshot->copy_holder;
    binding.version = snapshot->version;
    binding.adapter = snapshot->adapter;
  } else if (const auto engine = m_recovery.describe_engine(cursor.engine)) {
    binding.version = engine->version;
    binding.adapter = engine->adapter;
  }
  LogLine(LogEventId::kStreamReattached)
      .Field("generation", FormatGeneration(cursor.generation))
      .Field("position", static_cast<long long>(cursor.position))
      .Field("engine", binding.engine)
      .Field("copy", snapshot ? "found" : "missing")
      .Field("held", static_cast<long long>(start.tokens.size()));
  Add(std::make_unique<StreamRunner>(
      &m_environment, pending.request, std::move(start), std::move(binding),
      pending.responder, nullptr, MakeRemovalCallback(cursor.generation)));
}

void StreamService::ReattachOrRefuse(
    StreamRunner* runner,
    const std::shared_ptr<HttpResponder>& responder,
    uint64_t position) {
  if (!runner->Reattach(responder, position)) {
    RefuseResume(responder.get(), ResultCode::kResumeImpossible,
                 "the position is not available in this daemon", position);
  }
}

void StreamService::RefuseResume(HttpResponder* responder,
                                 ResultCode code,
                                 std::string message,
                                 uint64_t position) {
  HttpRefusal refusal;
  refusal.code = code;
  refusal.message = std::move(message);
  refusal.outcome = RefusalOutcome::kUnknown;
  refusal.position = position;
  SendRefusal(responder, refusal, m_environment.metrics);
}

void StreamService::OnCopied(uint64_t generation, uint64_t position) {
  if (StreamRunner* runner = Find(generation)) {
    runner->OnCopied(position);
  }
}

void StreamService::OnUnprotected(uint64_t generation) {
  if (StreamRunner* runner = Find(generation)) {
    runner->OnUnprotected();
  }
}

void StreamService::OnSuperseded(uint64_t generation) {
  if (StreamRunner* runner = Find(generation)) {
    runner->OnSuperseded();
  }
}

std::optional<StreamSnapshot> StreamService::Release(uint64_t generation) {
  StreamRunner* runner = Find(generation);
  if (runner == nullptr || runner->session().base() != 0) {
    return std::nullopt;
  }
  StreamSnapshot snapshot{.attempt = runner->session().attempt() + 1,
                          .version = runner->version(),
                          .adapter = runner->adapter(),
                          .engine = runner->engine(),
                          .tokens = runner->session().tokens()};
  runner->OnSuperseded();
  return snapshot;
}

void StreamService::RefuseAllForExit() {
  for (const auto& [generation, runner] : m_runners) {
    runner->RefuseForExit();
  }
}

void StreamService::HandOverAll() {
  for (const auto& [generation, runner] : m_runners) {
    runner->HandOver();
  }
}

}  // namespace bramleybank
