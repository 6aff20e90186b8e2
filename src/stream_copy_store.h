// Holder's side of stream copies: soft state kept for the daemons that own the
// streams.
//
// The attempt number of a stream is the epoch of its copy. A claim by a daemon
// that resumes the stream increments it, and appends with a lower attempt are
// refused, so that an owner that was paused stops when it runs again. The
// number alone is not sufficient: an owner also increments the attempt when its
// engine fails, and may reach the number that was issued to a claimant. A claim
// therefore also displaces the previous owner: its appends are refused with any
// attempt number until it claims the stream itself.
#ifndef BRAMLEYBANK_SRC_STREAM_COPY_STORE_H_
#define BRAMLEYBANK_SRC_STREAM_COPY_STORE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "bramleybank/limits.h"
#include "hooks.h"
#include "peer_message.h"

namespace bramleybank {

/// Copies of other daemons' streams. Does no I/O itself.
class StreamCopyStore {
 public:
  /// @param max_bytes memory limit above which new copies are refused. Existing
  /// copies may grow until the limit is exceeded by a quarter.
  explicit StreamCopyStore(ClockHook clock,
                           size_t max_bytes = kMaxCopyStoreBytes);

  /// Applies a batch.
  /// @returns one result for each entry, in order.
  CopyAppendReply Append(const CopyAppend& batch);

  /// Issues the next attempt number to a daemon that resumes a stream, and
  /// returns the tokens of the copy.
  CopyClaimReply Claim(const CopyClaim& claim);

  /// Drops the tokens of a stream that has ended. The attempt number is kept
  /// for kCopyIdleLifetime, so that a paused owner cannot recreate the copy.
  /// @returns false when `attempt` is lower than the known one.
  bool End(uint64_t generation, uint32_t attempt);

  /// Drops records without a message for kCopyIdleLifetime.
  /// @returns the number of records dropped.
  size_t Expire(TimePoint now);

  /// @returns the number of known streams, with or without tokens.
  size_t size() const { return m_records.size(); }
  /// @returns the memory charged to all streams.
  size_t bytes() const { return m_bytes; }
  /// Numbers of refused appends since the start, for metrics.
  uint64_t stale_refusals() const { return m_stale_refusals; }
  uint64_t full_refusals() const { return m_full_refusals; }

 private:
  using LruList = std::list<uint64_t>;

  struct Record {
    uint32_t attempt = 0;
    // False after the end of the stream, and when only the attempt number is
    // known.
    bool has_copy = false;
    bool ended = false;
    std::string owner;
    // Former owners. Invariant: `owner` is not among them.
    std::vector<std::string> displaced_owners;
    CopyIdentity identity;
    StreamTokenList tokens;
    TimePoint last_message;
    // Position in m_lru.
    LruList::iterator lru_position;
    // Share of this record in m_bytes.
    size_t charged_bytes = 0;
  };
  using RecordMap = std::unordered_map<uint64_t, Record>;

  CopyAppendResult AppendEntry(const std::string& owner,
                               const CopyAppendEntry& entry);
  static bool IsStale(const std::string& owner,
                      const CopyAppendEntry& entry,
                      const Record& record);
  CopyAppendResult StartCopy(const std::string& owner,
                             const CopyAppendEntry& entry);
  CopyAppendResult AppendTokens(const std::string& owner,
                                const CopyAppendEntry& entry,
                                Record& record);
  bool HasRoomFor(const Record& record, const CopyAppendEntry& entry) const;
  CopyAppendResult RefuseFull();
  Record& FindOrCreate(uint64_t generation);
  /// Records the time of a message and updates the charged memory.
  void Touch(uint64_t generation, Record& record);

  ClockHook m_clock;
  size_t m_max_bytes;
  RecordMap m_records;
  // Each generation in m_records once, least recent message first.
  LruList m_lru;
  // Sum of `charged_bytes` over all records.
  size_t m_bytes = 0;
  uint64_t m_stale_refusals = 0;
  uint64_t m_full_refusals = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_COPY_STORE_H_
