// Owner's side of stream copies: sends the tokens of this daemon's streams to
// the daemons that hold the copies.
//
// Each holder has a queue of streams with unsent tokens and at most one batch
// in flight. A batch is sent immediately when none is in flight and the last
// one was sent at least kCopyFlushInterval ago; otherwise tokens accumulate.
// The first token of a stream does not wait for the interval. The cost of a
// batch is shared only by tokens for the same holder, so an owner should use
// few holders.
#ifndef BRAMLEYBANK_SRC_STREAM_COPY_SENDER_H_
#define BRAMLEYBANK_SRC_STREAM_COPY_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hooks.h"
#include "peer_message.h"

namespace bramleybank {

/// Hooks of StreamCopySender. Each may call back into the sender.
struct StreamCopySenderHooks {
  /// Called exactly once for each batch, without a value when no valid reply
  /// was received.
  using ReplyCallback = std::function<void(std::optional<CopyAppendReply>)>;

  ClockHook clock;
  std::function<void(const std::string& peer,
                     const CopyAppend& batch,
                     ReplyCallback callback)>
      send;
  /// Requests a call of OnTimer() at `due`; replaces the previous request.
  std::function<void(TimePoint due)> set_timer;
  /// @param failed_peer holder to avoid; empty if there is none.
  /// @returns the address of another holder, or nothing if there is none.
  std::function<std::optional<std::string>(uint64_t generation,
                                           const std::string& failed_peer)>
      choose_holder;
  /// The holder has all tokens up to `position`, which increases with each
  /// call.
  std::function<void(uint64_t generation, uint64_t position)> on_acked;
  /// No acknowledgement has arrived for kCopyAckTimeout. Not called again until
  /// the copy has caught up.
  std::function<void(uint64_t generation)> on_unprotected;
  /// Another daemon has claimed the stream; the sender has already removed it.
  std::function<void(uint64_t generation, uint32_t newer_attempt)>
      on_superseded;
};

/// Initial state of a stream to copy.
struct CopiedStream {
  uint64_t generation = 0;
  uint32_t attempt = 0;
  CopyIdentity identity = {};
  /// Tokens received before, for a stream taken over from another daemon.
  StreamTokenList tokens = {};
  /// Peer address of the holder; empty to let the sender choose one.
  std::string holder = {};
  /// Position of the last of `tokens` that the holder has, according to its
  /// reply to a claim.
  uint64_t held_position = 0;
};

/// Sends tokens in batches and tracks their acknowledgements. Does no I/O
/// itself.
class StreamCopySender {
 public:
  /// @param owner peer address of this daemon.
  StreamCopySender(std::string owner, StreamCopySenderHooks hooks);
  ~StreamCopySender();
  StreamCopySender(const StreamCopySender&) = delete;
  StreamCopySender& operator=(const StreamCopySender&) = delete;

  /// Starts copying. The generation must not be open already.
  void Open(CopiedStream stream);

  // The methods below ignore generations that are not open, because events may
  // still be pending when a stream is superseded.

  /// Appends the next token.
  /// @returns its position, or 0 when the stream is not open.
  uint64_t Append(uint64_t generation, std::string_view token);
  /// All further tokens belong to a new attempt on `engine`.
  void SetAttempt(uint64_t generation,
                  uint32_t attempt,
                  const std::string& engine);
  /// Makes `peer` the holder: sends it the complete copy and all further
  /// tokens.
  void SetHolder(uint64_t generation, const std::string& peer);
  /// The caller has the complete answer: tells the holder to drop the copy.
  void Finish(uint64_t generation);
  /// Stops copying and leaves the copy for the daemon that resumes the stream.
  void Abandon(uint64_t generation);

  /// A holder has failed: moves the copies that it held to other holders.
  void OnHolderLost(const std::string& peer);
  void OnTimer();

  size_t open_streams() const { return m_streams.size(); }
  /// @returns the holder of a stream; empty if there is none.
  std::string holder(uint64_t generation) const;

 private:
  struct Stream;
  struct InFlightEntry;
  struct Holder;

  Stream* Find(uint64_t generation);
  void Enqueue(uint64_t generation, Stream& stream);
  void TryFlush(const std::string& peer);
  CopyAppend BuildBatch(const std::string& peer, Holder& holder);
  CopyAppendEntry BuildEntry(uint64_t generation,
                             Stream& stream,
                             size_t* remaining_bytes,
                             Holder& holder);
  void OnReply(const std::string& peer,
               uint64_t batch_number,
               const std::optional<CopyAppendReply>& reply);
  void OnResult(const InFlightEntry& sent, const CopyAppendResult& result);
  void OnAck(const InFlightEntry& sent, uint64_t position);
  void OnNeedWholeCopy(const InFlightEntry& sent);
  void ReplaceFailedHolder(uint64_t generation);
  void ReassignHolder(uint64_t generation, const std::string& failed_peer);
  void AssignHolder(uint64_t generation, const std::string& peer);
  void ResetCopy(Stream& stream);
  void ScheduleDeadline(uint64_t generation, Stream& stream);
  void OnDeadline(uint64_t generation);
  void RequestTimer(TimePoint due);

  std::string m_owner;
  StreamCopySenderHooks m_hooks;
  std::unordered_map<uint64_t, Stream> m_streams;
  std::map<std::string, Holder> m_holders;
  // At most one entry per stream. It may be earlier than the stream's current
  // deadline, never later.
  std::set<std::pair<TimePoint, uint64_t>> m_deadlines;
  // Due time of the pending set_timer request.
  std::optional<TimePoint> m_timer_due;
  uint64_t m_next_batch = 1;
  // Numbers the assignments of holders, so that late replies from an earlier
  // assignment can be recognized.
  uint64_t m_next_assignment = 1;
  // Expires with this object; reply callbacks may outlive it.
  std::shared_ptr<const bool> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_COPY_SENDER_H_
