// Decisions of the owner of copied streams.
#include "stream_copy_sender.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

// Framing of an entry and of a token in a batch, rounded up.
constexpr size_t kEntryBytes = 32;
constexpr size_t kTokenBytes = 3;
constexpr unsigned kMaxBackoffShift = 7;

}  // namespace

struct StreamCopySender::Stream {
  uint32_t attempt = 0;
  CopyIdentity identity;
  StreamTokenList tokens;
  // Empty while no holder is known.
  std::string holder;
  // Changes with each assignment of a holder.
  uint64_t assignment = 0;
  // Last position in a batch to the current holder, and the last one that it
  // has acknowledged: acked <= sent <= tokens.size().
  uint64_t sent = 0;
  uint64_t acked = 0;
  // Highest position reported with on_acked.
  uint64_t reported = 0;
  // The holder has not got the identity of this attempt yet.
  bool identity_due = true;
  bool queued = false;
  bool ending = false;
  // When the oldest token in a batch, and the oldest one in none, was added.
  std::optional<TimePoint> in_flight_since;
  std::optional<TimePoint> unsent_since;
  bool unprotected = false;
  // An acknowledgement of this position ends the unprotected state.
  uint64_t unprotected_through = 0;
  TimePoint last_assigned;
  // Holders tried without an acknowledgement in between.
  unsigned fruitless_moves = 0;
  // Time of this stream's entry in m_deadlines, if it has one.
  std::optional<TimePoint> queued_deadline;

  std::optional<TimePoint> WaitingSince() const {
    return in_flight_since ? in_flight_since : unsent_since;
  }

  /// Next time at which a missing acknowledgement must be acted on.
  std::optional<TimePoint> Deadline() const {
    const auto since = WaitingSince();
    if (!since || ending) {
      return std::nullopt;
    }
    return unprotected ? last_assigned + MoveDelay() : *since + kCopyAckTimeout;
  }

  /// Time that the current holder gets before another one is chosen.
  Duration MoveDelay() const {
    const Duration delay =
        kCopyAckTimeout * (1U << std::min(fruitless_moves, kMaxBackoffShift));
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
  // Streams with something to send, in the order in which they came. Entries
  // of streams that have moved or gone are skipped.
  std::deque<uint64_t> queue;
  // Number of the batch in flight; 0 without one.
  uint64_t batch_number = 0;
  std::vector<InFlightEntry> in_flight;
  std::optional<TimePoint> last_flush;
  // The queue holds the first token of a stream, whose caller sees the wait.
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
  assert(start.held <= start.tokens.size());
  Stream& stream = it->second;
  stream.attempt = start.attempt;
  stream.identity = std::move(start.identity);
  stream.tokens = std::move(start.tokens);
  stream.holder = std::move(start.holder);
  stream.assignment = m_next_assignment++;
  stream.last_assigned = m_hooks.clock();
  if (stream.holder.empty()) {
    ResetCopy(stream);
    AskForHolder(start.generation, {});
    return;
  }
  stream.sent = stream.acked = stream.reported = start.held;
  if (stream.sent < stream.tokens.size()) {
    stream.unsent_since = stream.last_assigned;
    QueueDeadline(start.generation, stream);
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
  QueueDeadline(generation, *stream);
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
    stream->fruitless_moves = 0;
    Move(generation, peer);
  }
}

void StreamCopySender::Finish(uint64_t generation) {
  Stream* stream = Find(generation);
  if (stream == nullptr) {
    return;
  }
  // A holder that was sent nothing has nothing to drop.
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
  // The hook may call back at once: nothing of `holder` is used after it.
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
  size_t room = kMaxCopyBatchBytes;
  // Streams that do not fit whole go to the end, so one long copy does not
  // hold up the others; each is visited once.
  for (size_t left = holder.queue.size(); left > 0 && room > 0; --left) {
    const uint64_t generation = holder.queue.front();
    holder.queue.pop_front();
    Stream* stream = Find(generation);
    if (stream == nullptr || stream->holder != peer || !stream->queued) {
      continue;
    }
    stream->queued = false;
    batch.entries.push_back(TakeEntry(generation, *stream, &room, holder));
    if (stream->sent < stream->tokens.size()) {
      stream->queued = true;
      holder.queue.push_back(generation);
    }
  }
  return batch;
}

CopyAppendEntry StreamCopySender::TakeEntry(uint64_t generation,
                                            Stream& stream,
                                            size_t* room,
                                            Holder& holder) {
  CopyAppendEntry entry{.generation = generation,
                        .attempt = stream.attempt,
                        .first_position = stream.sent + 1};
  *room -= std::min(*room, kEntryBytes);
  if (stream.identity_due) {
    entry.identity = stream.identity;
    stream.identity_due = false;
  }
  // At least one token, so that a large one cannot block its stream.
  while (stream.sent < stream.tokens.size()) {
    const std::string_view token = stream.tokens[stream.sent];
    const size_t cost = token.size() + kTokenBytes;
    if (cost > *room && !entry.tokens.empty()) {
      *room = 0;
      break;
    }
    entry.tokens.Append(token);
    ++stream.sent;
    *room -= std::min(*room, cost);
  }
  const bool whole = stream.sent == stream.tokens.size();
  if (!stream.in_flight_since) {
    stream.in_flight_since = stream.unsent_since;
  }
  if (whole) {
    stream.unsent_since.reset();
  }
  entry.ends = stream.ending && whole;
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
  // The batch counts as in flight until all results are taken in: hooks may
  // add tokens, and these must not go out with state that is half updated.
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
    // True also when it comes late from a former holder.
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
      FailStream(sent.generation);
      break;
  }
}

void StreamCopySender::OnAck(const InFlightEntry& sent, uint64_t position) {
  Stream& stream = *Find(sent.generation);
  if (position < sent.last_position) {
    // A holder that keeps less than it was sent cannot be relied on.
    FailStream(sent.generation);
    return;
  }
  if (sent.ends) {
    m_streams.erase(sent.generation);
    return;
  }
  stream.acked = sent.last_position;
  stream.in_flight_since.reset();
  stream.fruitless_moves = 0;
  if (stream.unprotected && stream.acked >= stream.unprotected_through) {
    stream.unprotected = false;
    QueueDeadline(sent.generation, stream);
  }
  if (stream.acked > stream.reported) {
    stream.reported = stream.acked;
    m_hooks.on_acked(sent.generation, stream.reported);
  }
}

void StreamCopySender::OnNeedWholeCopy(const InFlightEntry& sent) {
  Stream& stream = *Find(sent.generation);
  const bool was_whole = sent.first_position == 1 && sent.with_identity;
  if (was_whole || stream.ending) {
    FailStream(sent.generation);
    return;
  }
  ResetCopy(stream);
  QueueDeadline(sent.generation, stream);
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
      FailStream(generation);
    }
  }
  TryFlush(peer);
}

void StreamCopySender::FailStream(uint64_t generation) {
  Stream& stream = *Find(generation);
  if (stream.ending) {
    // The copy is dropped by its holder after the idle lifetime.
    m_streams.erase(generation);
    return;
  }
  const std::string failed = std::exchange(stream.holder, {});
  ResetCopy(stream);
  if (stream.fruitless_moves > 1 &&
      m_hooks.clock() < stream.last_assigned + stream.MoveDelay()) {
    // Several holders failed in a row: wait for the deadline.
    QueueDeadline(generation, stream);
    return;
  }
  AskForHolder(generation, failed);
}

void StreamCopySender::AskForHolder(uint64_t generation,
                                    const std::string& failed_peer) {
  Stream* stream = Find(generation);
  const uint64_t assignment = stream->assignment;
  ++stream->fruitless_moves;
  stream->last_assigned = m_hooks.clock();
  const std::optional<std::string> peer =
      m_hooks.choose_holder(generation, failed_peer);
  stream = Find(generation);
  if (stream == nullptr || stream->assignment != assignment) {
    return;  // The hook has ended the stream or set a holder itself.
  }
  if (peer && !peer->empty()) {
    Move(generation, *peer);
    return;
  }
  // Without another holder, one that is only late is kept: it may answer yet.
  QueueDeadline(generation, *stream);
}

void StreamCopySender::Move(uint64_t generation, const std::string& peer) {
  Stream& stream = *Find(generation);
  stream.holder = peer;
  stream.last_assigned = m_hooks.clock();
  ResetCopy(stream);
  QueueDeadline(generation, stream);
  if (!stream.tokens.empty()) {
    Enqueue(generation, stream);
  }
}

void StreamCopySender::ResetCopy(Stream& stream) {
  // Replies to what was sent before no longer count.
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

// --- Time -------------------------------------------------------------------

void StreamCopySender::QueueDeadline(uint64_t generation, Stream& stream) {
  const auto deadline = stream.Deadline();
  if (!deadline ||
      (stream.queued_deadline && *stream.queued_deadline <= *deadline)) {
    return;
  }
  if (stream.queued_deadline) {
    m_deadlines.erase({*stream.queued_deadline, generation});
  }
  stream.queued_deadline = deadline;
  m_deadlines.emplace(*deadline, generation);
  RequestTimer(*deadline);
}

void StreamCopySender::OnDeadline(uint64_t generation) {
  Stream* stream = Find(generation);
  if (stream == nullptr) {
    return;
  }
  stream->queued_deadline.reset();
  const TimePoint now = m_hooks.clock();
  const auto deadline = stream->Deadline();
  if (!deadline || *deadline > now) {
    QueueDeadline(generation, *stream);
    return;
  }
  if (!stream->unprotected) {
    stream->unprotected = true;
    stream->unprotected_through = stream->tokens.size();
    m_hooks.on_unprotected(generation);
    stream = Find(generation);
    if (stream == nullptr) {
      return;
    }
  }
  if (now >= stream->last_assigned + stream->MoveDelay()) {
    AskForHolder(generation, std::string(stream->holder));
    return;
  }
  QueueDeadline(generation, *stream);
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
