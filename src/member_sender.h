// Builds the datagrams of the membership within the byte budget.
#ifndef BRAMLEYBANK_SRC_MEMBER_SENDER_H_
#define BRAMLEYBANK_SRC_MEMBER_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hooks.h"
#include "member_gossip_queue.h"
#include "member_message.h"

namespace bramleybank {

class MemberTable;

/// A datagram and the peer address that it goes to.
struct MemberDatagram {
  std::string to;
  std::string bytes;

  friend bool operator==(const MemberDatagram&,
                         const MemberDatagram&) = default;
};

/// What one datagram is about.
struct MemberSend {
  std::string to;
  MemberMessageKind kind = MemberMessageKind::kGossip;
  uint64_t sequence = 0;
  std::string about;
  /// News that the receiver must refute.
  std::optional<MemberNews> claim;
};

/// Fills datagrams with news and keeps to the cap on bytes sent: probes and
/// answers come first, piggybacked news second, the full state last.
class MemberSender {
 public:
  struct Counters {
    uint64_t datagrams = 0;
    uint64_t bytes = 0;
    /// Datagrams that were not sent because the budget was used up.
    uint64_t suppressed = 0;
  };

  /// @param cluster tells deployments apart.
  /// @param table, notices what is sent; they outlive the sender.
  MemberSender(uint64_t cluster,
               const MemberTable* table,
               const MemberNotices* notices);

  /// Sends one datagram with as much news as fits. When the receiver is
  /// suspect or dead here, that comes first, so that it can refute.
  void Send(const MemberSend& send, TimePoint now);

  /// Queues news about a member or a notice for piggybacking.
  void Spread(const MemberGossipQueue::Subject& subject);
  /// Passes the confirmed configuration numbers on with the next datagrams.
  void SpreadConfirmations();
  /// @returns whether there is news that a gossip datagram would carry.
  bool has_news() const;

  /// Queues the full state for one member; it is sent in several datagrams as
  /// the budget allows.
  void StartSync(const std::string& to);
  void ContinueSync(TimePoint now);

  std::vector<MemberDatagram> TakeOutput();
  const Counters& counters() const { return m_counters; }

 private:
  /// Progress through the full state for one receiver.
  struct Sync {
    std::string to;
    // Address of the last member that was sent.
    std::string after_member = {};
    bool members_done = false;
    MemberNotices::Key after_notice = {};
  };

  void Refill(TimePoint now);
  MemberMessageWriter NewWriter(const MemberSend& send, size_t max_bytes);
  bool Write(const MemberGossipQueue::Subject& subject,
             MemberMessageWriter* writer,
             TimePoint now) const;
  void Emit(const std::string& to, const MemberMessageWriter& writer);
  bool WriteSyncMembers(Sync* sync,
                        MemberMessageWriter* writer,
                        TimePoint now) const;
  bool WriteSyncNotices(Sync* sync,
                        MemberMessageWriter* writer,
                        TimePoint now) const;
  int TransmissionLimit() const;

  uint64_t m_cluster;
  const MemberTable* m_table;
  const MemberNotices* m_notices;
  MemberGossipQueue m_queue;
  // Datagrams that still carry the confirmations.
  int m_confirmation_sends = 0;
  std::deque<Sync> m_syncs;
  std::vector<MemberDatagram> m_output;
  // Bytes that may be sent now.
  double m_tokens;
  TimePoint m_refilled;
  Counters m_counters;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_SENDER_H_
