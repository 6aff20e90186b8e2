// Records, epochs and memory limits of held copies.
#include "stream_copy_store.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace bramleybank {
namespace {

// Hash node, list node and string objects of a record.
constexpr size_t kRecordOverheadBytes = 512;
// A stream normally has at most kMaxStreamAttempts owners. The limit keeps
// repeated claims from growing the record.
constexpr size_t kMaxDisplacedOwners = 16;

// A claim that asks for the highest number does not wrap around to 0.
constexpr uint32_t kMaxAttempt = std::numeric_limits<uint32_t>::max();

uint64_t LastPosition(const CopyAppendEntry& entry) {
  return entry.first_position - 1 + entry.tokens.size();
}

}  // namespace

StreamCopyStore::StreamCopyStore(ClockHook clock, size_t max_bytes)
    : m_clock(std::move(clock)), m_max_bytes(max_bytes) {
  assert(m_clock);
}

CopyAppendReply StreamCopyStore::Append(const CopyAppend& batch) {
  CopyAppendReply reply;
  reply.results.reserve(batch.entries.size());
  for (const CopyAppendEntry& entry : batch.entries) {
    reply.results.push_back(AppendEntry(batch.owner, entry));
  }
  return reply;
}

CopyAppendResult StreamCopyStore::AppendEntry(const std::string& owner,
                                              const CopyAppendEntry& entry) {
  const auto it = m_records.find(entry.generation);
  if (it == m_records.end()) {
    // The end of an unknown stream needs no record.
    return entry.ends ? CopyAppendResult{.position = LastPosition(entry)}
                      : StartCopy(owner, entry);
  }
  Record& record = it->second;
  if (IsStale(owner, entry, record)) {
    ++m_stale_refusals;
    return {.status = CopyAppendStatus::kStale,
            .newer_attempt = record.attempt};
  }
  if (entry.ends) {
    End(entry.generation, entry.attempt);
    return {.position = LastPosition(entry)};
  }
  if (record.ended && entry.attempt == record.attempt) {
    // The batch was sent again because its reply was lost.
    return {.position = LastPosition(entry)};
  }
  return record.has_copy ? AppendTokens(owner, entry, record)
                         : StartCopy(owner, entry);
}

bool StreamCopyStore::IsStale(const std::string& owner,
                              const CopyAppendEntry& entry,
                              const Record& record) {
  if (entry.attempt < record.attempt) {
    return true;
  }
  // If two daemons choose the same attempt number without a claim, the first
  // one keeps the copy. An owner that does not send its address is not checked.
  const bool other_owner = !owner.empty() && !record.owner.empty() &&
                           owner != record.owner &&
                           entry.attempt == record.attempt;
  return other_owner || std::ranges::find(record.displaced_owners, owner) !=
                            record.displaced_owners.end();
}

CopyAppendResult StreamCopyStore::StartCopy(const std::string& owner,
                                            const CopyAppendEntry& entry) {
  if (entry.first_position != 1 || !entry.identity) {
    return {.status = CopyAppendStatus::kNeedWholeCopy};
  }
  if (m_bytes >= m_max_bytes || !HasRoomFor(Record{}, entry)) {
    return RefuseFull();
  }
  Record& record = FindOrCreate(entry.generation);
  record.attempt = entry.attempt;
  record.owner = owner;
  record.has_copy = true;
  record.ended = false;
  record.tokens = {};
  return AppendTokens(owner, entry, record);
}

CopyAppendResult StreamCopyStore::AppendTokens(const std::string& owner,
                                               const CopyAppendEntry& entry,
                                               Record& record) {
  const uint64_t before = entry.first_position - 1;
  const bool newer = entry.attempt > record.attempt;
  record.attempt = entry.attempt;
  record.owner = owner;
  if (before > record.tokens.size()) {
    if (newer) {
      // Tokens of an older attempt must not be returned under the new attempt
      // number.
      record.has_copy = false;
      record.tokens = {};
      Touch(entry.generation, record);
    }
    return {.status = CopyAppendStatus::kNeedWholeCopy};
  }
  if (!HasRoomFor(record, entry)) {
    return RefuseFull();
  }
  if (newer) {
    // An owner without a claim continues after the position of its caller,
    // which may be before the end of this copy. The new attempt may generate
    // different tokens from there on.
    record.tokens.Truncate(before);
  }
  if (entry.identity) {
    record.identity = *entry.identity;
  }
  record.tokens.AppendFrom(entry.tokens, record.tokens.size() - before);
  Touch(entry.generation, record);
  return {.position = record.tokens.size()};
}

bool StreamCopyStore::HasRoomFor(const Record& record,
                                 const CopyAppendEntry& entry) const {
  const size_t tokens = record.tokens.size() + entry.tokens.size();
  const size_t text = record.tokens.text_bytes() + entry.tokens.text_bytes();
  return tokens <= kMaxCopyTokens && text <= kMaxCopyBytes &&
         m_bytes + entry.tokens.memory_bytes() <= m_max_bytes + m_max_bytes / 4;
}

CopyAppendResult StreamCopyStore::RefuseFull() {
  ++m_full_refusals;
  return {.status = CopyAppendStatus::kFull};
}

CopyClaimReply StreamCopyStore::Claim(const CopyClaim& claim) {
  const auto it = m_records.find(claim.generation);
  const bool known = it != m_records.end();
  if (known && it->second.has_copy &&
      it->second.identity.request_hash != claim.request_hash) {
    return {.status = CopyClaimStatus::kRequestMismatch};
  }
  const uint32_t highest =
      std::max(known ? it->second.attempt : 0, claim.minimum_attempt);
  CopyClaimReply reply;
  reply.attempt = highest + (highest < kMaxAttempt ? 1 : 0);
  if (!known && m_bytes >= m_max_bytes) {
    // There is no memory to record the attempt number, so the engine has to
    // decide between several claimants.
    return reply;
  }
  Record& record = FindOrCreate(claim.generation);
  record.attempt = reply.attempt;
  record.ended = false;
  if (!record.owner.empty() && record.owner != claim.claimant &&
      record.displaced_owners.size() < kMaxDisplacedOwners) {
    record.displaced_owners.push_back(record.owner);
  }
  std::erase(record.displaced_owners, claim.claimant);
  record.owner = claim.claimant;
  if (record.has_copy) {
    reply.status = CopyClaimStatus::kFound;
    reply.identity = record.identity;
    reply.tokens = record.tokens;
  }
  Touch(claim.generation, record);
  return reply;
}

bool StreamCopyStore::End(uint64_t generation, uint32_t attempt) {
  const auto it = m_records.find(generation);
  if (it == m_records.end()) {
    return true;
  }
  Record& record = it->second;
  if (attempt < record.attempt) {
    return false;
  }
  record.attempt = attempt;
  record.has_copy = false;
  record.ended = true;
  record.identity = {};
  record.tokens = {};
  Touch(generation, record);
  return true;
}

size_t StreamCopyStore::Expire(TimePoint now) {
  size_t dropped = 0;
  while (!m_lru.empty()) {
    const auto it = m_records.find(m_lru.front());
    assert(it != m_records.end());
    if (now - it->second.last_message < kCopyIdleLifetime) {
      break;
    }
    m_bytes -= it->second.charged_bytes;
    m_lru.pop_front();
    m_records.erase(it);
    ++dropped;
  }
  return dropped;
}

StreamCopyStore::Record& StreamCopyStore::FindOrCreate(uint64_t generation) {
  const auto [it, created] = m_records.try_emplace(generation);
  if (created) {
    it->second.lru_position = m_lru.insert(m_lru.end(), generation);
    it->second.last_message = m_clock();
  }
  return it->second;
}

void StreamCopyStore::Touch(uint64_t generation, Record& record) {
  assert(*record.lru_position == generation);
  record.last_message = m_clock();
  m_lru.splice(m_lru.end(), m_lru, record.lru_position);
  const CopyIdentity& identity = record.identity;
  const size_t memory = kRecordOverheadBytes + record.tokens.memory_bytes() +
                        identity.model.size() + identity.version.size() +
                        identity.adapter.size() + identity.engine.size();
  m_bytes += memory - record.charged_bytes;
  record.charged_bytes = memory;
}

}  // namespace bramleybank
