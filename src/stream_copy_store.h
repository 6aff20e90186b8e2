// The holder's side of the copies of streams: soft state kept for the daemons
// that own the streams.
//
// The attempt of a stream is the epoch of its copy. A claim by a daemon that
// resumes the stream raises it, and appends of a lower attempt are refused, so
// that an owner that was paused stops. The number alone is not enough: an
// owner raises the attempt by itself when its engine fails and may reach the
// number that was issued to a claimant. A claim therefore also displaces the
// daemon that owned the stream, whose appends are refused whatever their
// attempt, until it claims the stream itself.
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

/// Copies of streams of other daemons. Decision class without sockets.
class StreamCopyStore {
 public:
  /// @param max_bytes new copies are refused above this amount of memory;
  /// copies held may grow to a quarter more.
  explicit StreamCopyStore(ClockHook clock,
                           size_t max_bytes = kMaxCopyStoreBytes);

  /// Applies a batch. @returns one result for each entry, in order.
  CopyAppendReply Append(const CopyAppend& batch);

  /// Issues the next attempt to a daemon that resumes a stream and hands out
  /// the tokens held.
  CopyClaimReply Claim(const CopyClaim& claim);

  /// Drops the tokens of a stream that has ended. The attempt is kept for
  /// kCopyIdleLifetime, so that a paused owner cannot start the copy anew.
  /// @returns false when the attempt is lower than the one known.
  bool End(uint64_t generation, uint32_t attempt);

  /// Drops what got no message for kCopyIdleLifetime.
  /// @returns the number of streams dropped.
  size_t Expire(TimePoint now);

  /// Streams known, with or without tokens.
  size_t size() const { return m_records.size(); }
  /// Memory charged to all streams.
  size_t bytes() const { return m_bytes; }
  /// Appends refused since the start, for metrics.
  uint64_t stale_refusals() const { return m_stale_refusals; }
  uint64_t full_refusals() const { return m_full_refusals; }

 private:
  using UseList = std::list<uint64_t>;

  struct Record {
    uint32_t attempt = 0;
    // False after the end of the stream, and when only an attempt is known.
    bool has_copy = false;
    bool ended = false;
    std::string owner;
    // Former owners; no element equals `owner`.
    std::vector<std::string> displaced;
    CopyIdentity identity;
    StreamTokenList tokens;
    TimePoint last_message;
    // Place in m_by_use.
    UseList::iterator use;
    // Part of m_bytes that belongs to this record.
    size_t charged = 0;
  };
  using RecordMap = std::unordered_map<uint64_t, Record>;

  CopyAppendResult AppendEntry(const std::string& owner,
                               const CopyAppendEntry& entry);
  static bool IsStale(const std::string& owner,
                      const CopyAppendEntry& entry,
                      const Record& record);
  CopyAppendResult StartCopy(const std::string& owner,
                             const CopyAppendEntry& entry);
  CopyAppendResult Extend(const std::string& owner,
                          const CopyAppendEntry& entry,
                          Record& record);
  bool HasRoomFor(const Record& record, const CopyAppendEntry& entry) const;
  CopyAppendResult RefuseFull();
  Record& Obtain(uint64_t generation);
  /// Notes a message of the owner and updates the memory charged.
  void Touch(uint64_t generation, Record& record);

  ClockHook m_clock;
  size_t m_max_bytes;
  RecordMap m_records;
  // Every generation of m_records once, least recent message first.
  UseList m_by_use;
  // Sum of `charged` over all records.
  size_t m_bytes = 0;
  uint64_t m_stale_refusals = 0;
  uint64_t m_full_refusals = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_COPY_STORE_H_
