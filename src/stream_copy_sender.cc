// Batching, acknowledgements and choice of holders for copied streams.
#include "stream_copy_sender.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

// Framing overhead of an entry and of a token in a batch, rounded up.
constexpr size_t kEntryBytes = 32;
constexpr size_t kTokenBytes = 3;
constexpr unsigned kMaxBackoffShift = 7;

}  // namespace

struct StreamCopySender::Stream {
  uint32_t attempt = 0;
  CopyIdentity identity;
  StreamTokenList tokens;
  // Empty while there is no holder.
  std::string holder;
  // Changes with each assignment of a holder.
  uint64_t assignment = 0;
  // Last position that was sent to the current holder, and the last one that it
  // has acknowledged. Invariant: acked <= sent <= tokens.size().
  uint64_t sent = 0;
  uint64_t acked = 0;
  // Highest position reported through on_acked.
  uint64_t reported = 0;
  // The identity of this attempt has not been sent to the holder yet.
  bool identity_due = true;
  bool queued = false;
  bool ending = false;
  // When the oldest token in flight, and the oldest unsent token, was appended.
  std::optional<TimePoint> in_flight_since;
  std::optional<TimePoint> unsent_since;
  bool unprotected = false;
  // The stream is protected again once this position is acknowledged.
  uint64_t reprotect_position = 0;
  TimePoint last_assigned;
  // Assignments of holders since the last acknowledgement.
  unsigned failed_assignments = 0;
  // Time of this stream's entry in m_deadlines, if it has one.
  std::optional<TimePoint> scheduled_deadline;

  std::optional<TimePoint> WaitingSince() const {
    return in_flight_since ? in_flight_since : unsent_since;
  }

  /// Time at which the sender must act if no acknowledgement has arrived.
  std::optional<TimePoint> Deadline() const {
    const auto since = WaitingSince();
    if (!since || ending) {
      return std::nullopt;
    }
    return unprotected ? last_assigned + ReassignDelay()
                       : *since + kCopyAckTimeout;
  }

  /// Time after its assignment at which an unresponsive holder is replaced.
  Duration ReassignDelay() const {
    const Duration delay = kCopyAckTimeout * (1U << std::min(failed_assignments,
                                                             kMaxBackoffShift));
    return std::min<Duration>(delay, kMaxHolderRetryDelay);
  }
};

struct StreamCopySender::InFlightEntry {
  uint64_t generation = 0;
  uint64_t assignment = 0;
  uint64_t first_position = 0;
  uint64_t last_position = 0;
  bool with_identity = false;
  bool ends = false;
};

struct StreamCopySender::Holder {
  // Streams with something to send, in FIFO order. Entries of streams that have
  // moved to another holder or were removed are skipped.
  std::deque<uint64_t> queue;
  // Number of the batch in flight; 0 if there is none.
  uint64_t batch_number = 0;
  std::vector<InFlightEntry> in_flight;
  std::optional<TimePoint> last_flush;
  // The queue contains the first token of a stream, which is sent without delay
  // because a delay adds to the caller's time to first token.
  bool has_first_token = false;
};

StreamCopySender::StreamCopySender(std::string owner,
                                   StreamCopySenderHooks hooks)
    : m_owner(std::move(owner)),
      m_hooks(std::move(hooks)),
      m_alive(std::make_shared<const bool>(true)) {
  assert(m_hooks.clock && m_hooks.send && m_hooks.set_timer &&
         m_hooks.choose_holder && m_hooks.on_acked && m_hooks.on_unprotected &&
         m_hooks.on_superseded);
}

StreamCopySender::~StreamCopySender() = default;

StreamCopySender::Stream* StreamCopySender::Find(uint64_t generation) {
  const auto it = m_streams.find(generation);
  return it == m_streams.end() ? nullptr : &it->second;
}

std::string StreamCopySender::holder(uint64_t generation) const {
  const auto it = m_streams.find(generation);
  return it == m_streams.end() ? std::string() : it->second.holder;
}

void StreamCopySender::Open(CopiedStream start) {
  const auto [it, created] = m_streams.try_emplace(start.generation);
  assert(created);
  assert(start.held_position <= start.tokens.size());
  Stream& stream = it->second;
  stream.attempt = start.attempt;
  stream.identity = std::move(start.identity);
  stream.tokens = std::move(start.tokens);
  stream.holder = std::move(start.holder);
  stream.assignment = m_next_assignment++;
  stream.last_assigned = m_hooks.clock();
  if (stream.holder.empty()) {
    ResetCopy(stream);
    ReassignHolder(start.generation, {});
    return;
  }
  stream.sent = stream.acked = stream.reported = start.held_position;
  if (stream.sent < stream.tokens.size()) {
    stream.unsent_since = stream.last_assigned;
    ScheduleDeadline(start.generation, stream);
    Enqueue(start.generation, stream);
  }
}

uint64_t StreamCopySender::Append(uint64_t generation, std::string_view token) {
  Stream* stream = Find(generation);
  if (stream == nullptr || stream->ending) {
    return 0;
  }
  stream->tokens.Append(token);
  const uint64_t position = stream->tokens.size();
  if (!stream->unsent_since) {
    stream->unsent_since = m_hooks.clock();
  }
  ScheduleDeadline(generation, *stream);
  Enqueue(generation, *stream);
  return position;
}

void StreamCopySender::SetAttempt(uint64_t generation,
                                  uint32_t attempt,
                                  const std::string& engine) {
  Stream* stream = Find(generation);
  if (stream == nullptr) {
    return;
  }
  assert(attempt >= stream->attempt);
  stream->attempt = attempt;
  stream->identity.engine = engine;
  stream->identity_due = true;
}

void StreamCopySender::SetHolder(uint64_t generation, const std::string& peer) {
  assert(!peer.empty());
  if (Stream* stream = Find(generation)) {
    stream->failed_assignments = 0;
    AssignHolder(generation, peer);
  }
}

void StreamCopySender::Finish(uint64_t generation) {
  Stream* stream = Find(generation);
  if (stream == nullptr) {
    return;
  }
  // If nothing was sent to the holder, there is no copy to drop.
  if (stream->holder.empty() || stream->sent == 0) {
    Abandon(generation);
    return;
  }
  stream->ending = true;
  Enqueue(generation, *stream);
}

void StreamCopySender::Abandon(uint64_t generation) {
  m_streams.erase(generation);
}

// --- Sending ----------------------------------------------------------------

void StreamCopySender::Enqueue(uint64_t generation, Stream& stream) {
  if (stream.holder.empty() || stream.queued) {
    return;
  }
  stream.queued = true;
  const std::string peer = stream.holder;
  Holder& holder = m_holders[peer];
  holder.queue.push_back(generation);
  holder.has_first_token = holder.has_first_token || stream.tokens.size() == 1;
  TryFlush(peer);
}

void StreamCopySender::TryFlush(const std::string& peer) {
  const auto it = m_holders.find(peer);
  if (it == m_holders.end() || it->second.batch_number != 0) {
    return;
  }
  Holder& holder = it->second;
  const TimePoint now = m_hooks.clock();
  if (holder.last_flush && now < *holder.last_flush + kCopyFlushInterval &&
      !holder.has_first_token) {
    if (!holder.queue.empty()) {
      RequestTimer(*holder.last_flush + kCopyFlushInterval);
    }
    return;
  }
  holder.has_first_token = false;
  const CopyAppend batch = BuildBatch(peer, holder);
  if (batch.entries.empty()) {
    m_holders.erase(it);
    return;
  }
  const uint64_t number = m_next_batch++;
  holder.batch_number = number;
  holder.last_flush = now;
  // The hook may call back synchronously, so `holder` must not be used after
  // this call.
  m_hooks.send(peer, batch,
               [this, peer, number, alive = std::weak_ptr<const bool>(m_alive)](
                   const std::optional<CopyAppendReply>& reply) {
                 if (!alive.expired()) {
                   OnReply(peer, number, reply);
                 }
               });
}

CopyAppend StreamCopySender::BuildBatch(const std::string& peer,
                                        Holder& holder) {
  CopyAppend batch{.owner = m_owner};
  size_t remaining_bytes = kMaxCopyBatchBytes;
  // A stream that does not fit completely is requeued at the end, so that one
  // long copy does not delay the others. Each stream is visited once per batch.
  for (size_t left = holder.queue.size(); left > 0 && remaining_bytes > 0;
       --left) {
    const uint64_t generation = holder.queue.front();
    holder.queue.pop_front();
    Stream* stream = Find(generation);
    if (stream == nullptr || stream->holder != peer || !stream->queued) {
      continue;
    }
    stream->queued = false;
    batch.entries.push_back(
        BuildEntry(generation, *stream, &remaining_bytes, holder));
    if (stream->sent < stream->tokens.size()) {
      stream->queued = true;
      holder.queue.push_back(generation);
    }
  }
  return batch;
}

CopyAppendEntry StreamCopySender::BuildEntry(uint64_t generation,
                                             Stream& stream,
                                             size_t* remaining_bytes,
                                             Holder& holder) {
  CopyAppendEntry entry{.generation = generation,
                        .attempt = stream.attempt,
                        .first_position = stream.sent + 1};
  *remaining_bytes -= std::min(*remaining_bytes, kEntryBytes);
  if (stream.identity_due) {
    entry.identity = stream.identity;
    stream.identity_due = false;
  }
  // At least one token is sent, so that a token larger than a batch cannot
  // block its stream.
  while (stream.sent < stream.tokens.size()) {
    const std::string_view token = stream.tokens[stream.sent];
    const size_t cost = token.size() + kTokenBytes;
    if (cost > *remaining_bytes && !entry.tokens.empty()) {
      *remaining_bytes = 0;
      break;
    }
    entry.tokens.Append(token);
    ++stream.sent;
    *remaining_bytes -= std::min(*remaining_bytes, cost);
  }
  const bool is_complete = stream.sent == stream.tokens.size();
  if (!stream.in_flight_since) {
    stream.in_flight_since = stream.unsent_since;
  }
  if (is_complete) {
    stream.unsent_since.reset();
  }
  entry.ends = stream.ending && is_complete;
  holder.in_flight.push_back({.generation = generation,
                              .assignment = stream.assignment,
                              .first_position = entry.first_position,
                              .last_position = stream.sent,
                              .with_identity = entry.identity.has_value(),
                              .ends = entry.ends});
  return entry;
}

// --- Replies ----------------------------------------------------------------

void StreamCopySender::OnReply(const std::string& peer,
                               uint64_t batch_number,
                               const std::optional<CopyAppendReply>& reply) {
  const auto it = m_holders.find(peer);
  if (it == m_holders.end() || it->second.batch_number != batch_number) {
    return;
  }
  Holder& holder = it->second;
  const std::vector<InFlightEntry> sent = std::exchange(holder.in_flight, {});
  // The batch counts as in flight until all results are applied: hooks may
  // append tokens, and these must not be sent while the state is only partly
  // updated.
  if (reply && reply->results.size() == sent.size()) {
    for (size_t i = 0; i < sent.size(); ++i) {
      OnResult(sent[i], reply->results[i]);
    }
  } else {
    OnHolderLost(peer);
  }
  holder.batch_number = 0;
  TryFlush(peer);
}

void StreamCopySender::OnResult(const InFlightEntry& sent,
                                const CopyAppendResult& result) {
  Stream* stream = Find(sent.generation);
  if (stream == nullptr) {
    return;
  }
  if (result.status == CopyAppendStatus::kStale) {
    // Also valid if it is a late reply from a previous holder.
    m_streams.erase(sent.generation);
    m_hooks.on_superseded(sent.generation, result.newer_attempt);
    return;
  }
  if (stream->assignment != sent.assignment) {
    return;
  }
  switch (result.status) {
    case CopyAppendStatus::kAcked:
      OnAck(sent, result.position);
      break;
    case CopyAppendStatus::kNeedWholeCopy:
      OnNeedWholeCopy(sent);
      break;
    case CopyAppendStatus::kFull:
    case CopyAppendStatus::kStale:
      ReplaceFailedHolder(sent.generation);
      break;
  }
}

void StreamCopySender::OnAck(const InFlightEntry& sent, uint64_t position) {
  Stream& stream = *Find(sent.generation);
  if (position < sent.last_position) {
    // The holder has fewer tokens than were sent to it, so it is replaced.
    ReplaceFailedHolder(sent.generation);
    return;
  }
  if (sent.ends) {
    m_streams.erase(sent.generation);
    return;
  }
  stream.acked = sent.last_position;
  stream.in_flight_since.reset();
  stream.failed_assignments = 0;
  if (stream.unprotected && stream.acked >= stream.reprotect_position) {
    stream.unprotected = false;
    ScheduleDeadline(sent.generation, stream);
  }
  if (stream.acked > stream.reported) {
    stream.reported = stream.acked;
    m_hooks.on_acked(sent.generation, stream.reported);
  }
}

void StreamCopySender::OnNeedWholeCopy(const InFlightEntry& sent) {
  Stream& stream = *Find(sent.generation);
  const bool was_complete = sent.first_position == 1 && sent.with_identity;
  if (was_complete || stream.ending) {
    ReplaceFailedHolder(sent.generation);
    return;
  }
  ResetCopy(stream);
  ScheduleDeadline(sent.generation, stream);
  Enqueue(sent.generation, stream);
}

// --- Choice of the holder ---------------------------------------------------

void StreamCopySender::OnHolderLost(const std::string& peer) {
  const auto it = m_holders.find(peer);
  if (it != m_holders.end()) {
    it->second.queue.clear();
  }
  std::vector<uint64_t> affected;
  for (auto& [generation, stream] : m_streams) {
    if (stream.holder == peer) {
      stream.queued = false;
      affected.push_back(generation);
    }
  }
  for (const uint64_t generation : affected) {
    const Stream* stream = Find(generation);
    if (stream != nullptr && stream->holder == peer) {
      ReplaceFailedHolder(generation);
    }
  }
  TryFlush(peer);
}

void StreamCopySender::ReplaceFailedHolder(uint64_t generation) {
  Stream& stream = *Find(generation);
  if (stream.ending) {
    // The holder drops the copy after kCopyIdleLifetime.
    m_streams.erase(generation);
    return;
  }
  const std::string failed = std::exchange(stream.holder, {});
  ResetCopy(stream);
  if (stream.failed_assignments > 1 &&
      m_hooks.clock() < stream.last_assigned + stream.ReassignDelay()) {
    // Several holders have failed in a row: back off until the deadline.
    ScheduleDeadline(generation, stream);
    return;
  }
  ReassignHolder(generation, failed);
}

void StreamCopySender::ReassignHolder(uint64_t generation,
                                      const std::string& failed_peer) {
  Stream* stream = Find(generation);
  const uint64_t assignment = stream->assignment;
  ++stream->failed_assignments;
  stream->last_assigned = m_hooks.clock();
  const std::optional<std::string> peer =
      m_hooks.choose_holder(generation, failed_peer);
  stream = Find(generation);
  if (stream == nullptr || stream->assignment != assignment) {
    return;  // The hook has removed the stream or set a holder itself.
  }
  if (peer && !peer->empty()) {
    AssignHolder(generation, *peer);
    return;
  }
  // If there is no other holder, a holder that is only slow is kept, because it
  // may still reply.
  ScheduleDeadline(generation, *stream);
}

void StreamCopySender::AssignHolder(uint64_t generation,
                                    const std::string& peer) {
  Stream& stream = *Find(generation);
  stream.holder = peer;
  stream.last_assigned = m_hooks.clock();
  ResetCopy(stream);
  ScheduleDeadline(generation, stream);
  if (!stream.tokens.empty()) {
    Enqueue(generation, stream);
  }
}

void StreamCopySender::ResetCopy(Stream& stream) {
  // The new number invalidates replies to earlier batches.
  stream.assignment = m_next_assignment++;
  stream.unsent_since = stream.WaitingSince();
  stream.in_flight_since.reset();
  stream.sent = stream.acked = 0;
  stream.identity_due = true;
  stream.queued = false;
  if (!stream.unsent_since && !stream.tokens.empty()) {
    stream.unsent_since = m_hooks.clock();
  }
}

// --- Timers -----------------------------------------------------------------

void StreamCopySender::ScheduleDeadline(uint64_t generation, Stream& stream) {
  const auto deadline = stream.Deadline();
  if (!deadline ||
      (stream.scheduled_deadline && *stream.scheduled_deadline <= *deadline)) {
    return;
  }
  if (stream.scheduled_deadline) {
    m_deadlines.erase({*stream.scheduled_deadline, generation});
  }
  stream.scheduled_deadline = deadline;
  m_deadlines.emplace(*deadline, generation);
  RequestTimer(*deadline);
}

void StreamCopySender::OnDeadline(uint64_t generation) {
  Stream* stream = Find(generation);
  if (stream == nullptr) {
    return;
  }
  stream->scheduled_deadline.reset();
  const TimePoint now = m_hooks.clock();
  const auto deadline = stream->Deadline();
  if (!deadline || *deadline > now) {
    ScheduleDeadline(generation, *stream);
    return;
  }
  if (!stream->unprotected) {
    stream->unprotected = true;
    stream->reprotect_position = stream->tokens.size();
    m_hooks.on_unprotected(generation);
    stream = Find(generation);
    if (stream == nullptr) {
      return;
    }
  }
  if (now >= stream->last_assigned + stream->ReassignDelay()) {
    ReassignHolder(generation, std::string(stream->holder));
    return;
  }
  ScheduleDeadline(generation, *stream);
}

void StreamCopySender::OnTimer() {
  m_timer_due.reset();
  const TimePoint now = m_hooks.clock();
  std::vector<std::string> peers;
  for (const auto& [peer, holder] : m_holders) {
    peers.push_back(peer);
  }
  for (const std::string& peer : peers) {
    TryFlush(peer);
  }
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const uint64_t generation = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    OnDeadline(generation);
  }
  if (!m_deadlines.empty()) {
    RequestTimer(m_deadlines.begin()->first);
  }
}

void StreamCopySender::RequestTimer(TimePoint due) {
  if (!m_timer_due || due < *m_timer_due) {
    m_timer_due = due;
    m_hooks.set_timer(due);
  }
}

}  // namespace bramleybank
