// The owner's side of the copies of streams: sends the tokens of this daemon's
// streams to the daemons that hold the copies.
//
// Each holder has a queue of streams with unsent tokens and at most one batch
// in flight. A batch starts at once when nothing is in flight and the last one
// started at least kCopyFlushInterval ago; otherwise tokens collect. The first
// token of a stream does not wait for the interval. Batches
// amortise only what goes to one holder, so an owner should use few holders.
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

/// Hooks of StreamCopySender. Each may call the sender again.
struct StreamCopySenderHooks {
  /// Called exactly once for each batch; nothing when no valid reply came.
  using ReplyCallback = std::function<void(std::optional<CopyAppendReply>)>;

  ClockHook clock;
  std::function<void(const std::string& peer,
                     const CopyAppend& batch,
                     ReplyCallback callback)>
      send;
  /// Asks for a call of OnTimer() at `due`; a later request replaces it.
  std::function<void(TimePoint due)> set_timer;
  /// @param failed_peer holder to avoid; empty when there was none.
  /// @returns the address of another holder, or nothing when none is known.
  std::function<std::optional<std::string>(uint64_t generation,
                                           const std::string& failed_peer)>
      choose_holder;
  /// The holder has all tokens up to `position`, which grows with each call.
  std::function<void(uint64_t generation, uint64_t position)> on_acked;
  /// No acknowledgement for kCopyAckTimeout. Called again only after the copy
  /// has caught up in between.
  std::function<void(uint64_t generation)> on_unprotected;
  /// Another daemon has claimed the stream; the sender has forgotten it.
  std::function<void(uint64_t generation, uint32_t newer_attempt)>
      on_superseded;
};

/// A stream whose copy is to be kept.
struct CopiedStream {
  uint64_t generation = 0;
  uint32_t attempt = 0;
  CopyIdentity identity = {};
  /// Tokens known at the start, for a stream taken over from another daemon.
  StreamTokenList tokens = {};
  /// Peer address of the holder; empty to have one chosen.
  std::string holder = {};
  /// How many of `tokens` the holder has, as it said in its reply to a claim.
  uint64_t held = 0;
};

/// Sends tokens in batches and tracks what is acknowledged. Decision class
/// without sockets.
class StreamCopySender {
 public:
  /// @param owner peer address of this daemon.
  StreamCopySender(std::string owner, StreamCopySenderHooks hooks);
  ~StreamCopySender();
  StreamCopySender(const StreamCopySender&) = delete;
  StreamCopySender& operator=(const StreamCopySender&) = delete;

  /// Starts copying. The generation must not be open.
  void Open(CopiedStream stream);

  // The methods below ignore generations that are not open, because a stream
  // may have been superseded while its events were on the way.

  /// Adds the next token. @returns its position, or 0 when not open.
  uint64_t Append(uint64_t generation, std::string_view token);
  /// Tokens from now on belong to a new attempt on `engine`.
  void SetAttempt(uint64_t generation,
                  uint32_t attempt,
                  const std::string& engine);
  /// Sends the whole copy to `peer` and continues there.
  void SetHolder(uint64_t generation, const std::string& peer);
  /// The caller has the whole answer: tells the holder to drop the copy.
  void Finish(uint64_t generation);
  /// Stops copying and leaves the copy for whoever resumes the stream.
  void Abandon(uint64_t generation);

  /// A holder is known to have failed: moves its streams.
  void OnHolderLost(const std::string& peer);
  void OnTimer();

  size_t open_streams() const { return m_streams.size(); }
  /// @returns the holder of a stream; empty without one.
  std::string holder(uint64_t generation) const;

 private:
  struct Stream;
  struct InFlightEntry;
  struct Holder;

  Stream* Find(uint64_t generation);
  void Enqueue(uint64_t generation, Stream& stream);
  void TryFlush(const std::string& peer);
  CopyAppend BuildBatch(const std::string& peer, Holder& holder);
  CopyAppendEntry TakeEntry(uint64_t generation,
                            Stream& stream,
                            size_t* room,
                            Holder& holder);
  void OnReply(const std::string& peer,
               uint64_t batch_number,
               const std::optional<CopyAppendReply>& reply);
  void OnResult(const InFlightEntry& sent, const CopyAppendResult& result);
  void OnAck(const InFlightEntry& sent, uint64_t position);
  void OnNeedWholeCopy(const InFlightEntry& sent);
  void FailStream(uint64_t generation);
  void AskForHolder(uint64_t generation, const std::string& failed_peer);
  void Move(uint64_t generation, const std::string& peer);
  void ResetCopy(Stream& stream);
  void QueueDeadline(uint64_t generation, Stream& stream);
  void OnDeadline(uint64_t generation);
  void RequestTimer(TimePoint due);

  std::string m_owner;
  StreamCopySenderHooks m_hooks;
  std::unordered_map<uint64_t, Stream> m_streams;
  std::map<std::string, Holder> m_holders;
  // At most one entry a stream, never later than the stream's real deadline.
  std::set<std::pair<TimePoint, uint64_t>> m_deadlines;
  // Time asked for with set_timer that has not come yet.
  std::optional<TimePoint> m_timer_due;
  uint64_t m_next_batch = 1;
  // Distinguishes the assignments of holders, so that late replies are told
  // apart from those of the current one.
  uint64_t m_next_assignment = 1;
  // Expires with this object; reply callbacks may outlive it.
  std::shared_ptr<const bool> m_alive;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_COPY_SENDER_H_
