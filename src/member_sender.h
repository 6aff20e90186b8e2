// Builds the datagrams of the membership protocol within a byte budget.
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

/// A datagram and the peer address to which it is sent.
struct MemberDatagram {
  std::string to;
  std::string bytes;

  friend bool operator==(const MemberDatagram&,
                         const MemberDatagram&) = default;
};

/// Destination and fixed contents of one datagram.
struct MemberSendRequest {
  std::string to;
  MemberMessageKind kind = MemberMessageKind::kGossip;
  uint64_t sequence = 0;
  std::string target;
  /// Update about the receiver that it must refute.
  std::optional<MemberUpdate> claim;
};

/// Fills datagrams with updates and limits the bytes sent. Probes and answers
/// have the highest priority, piggybacked updates the second, and the full
/// state the lowest.
class MemberSender {
 public:
  struct Counters {
    uint64_t datagrams = 0;
    uint64_t bytes = 0;
    /// Datagrams that were dropped because the byte budget was used up.
    uint64_t suppressed = 0;
  };

  /// @param cluster identifies the deployment.
  /// @param table, notices source of the updates; they outlive the sender.
  MemberSender(uint64_t cluster,
               const MemberTable* table,
               const MemberNotices* notices);

  /// Sends one datagram with as many updates as fit. A receiver of a claim, or
  /// one that is not alive in the local table, gets only the update about
  /// itself, so that it can refute it.
  void Send(const MemberSendRequest& request, TimePoint now);

  /// Queues an update about a member or a notice for piggybacking.
  void QueueGossip(const MemberGossipQueue::Subject& subject);
  /// Adds the confirmations of the highest configuration number to the next
  /// datagrams.
  void QueueConfirmations();
  /// @returns whether updates or confirmations wait for a gossip datagram.
  bool has_pending_gossip() const;

  /// Queues the full state for one member. ContinueSync() sends it in several
  /// datagrams as the byte budget allows.
  void StartSync(const std::string& to);
  void ContinueSync(TimePoint now);

  std::vector<MemberDatagram> TakeOutput();
  const Counters& counters() const { return m_counters; }

 private:
  /// Progress of sending the full state to one receiver.
  struct Sync {
    std::string to;
    // Address of the last member sent.
    std::string after_member = {};
    bool members_done = false;
    MemberNotices::Key after_notice = {};
  };

  void Refill(TimePoint now);
  MemberMessageWriter NewWriter(const MemberSendRequest& request,
                                size_t max_bytes);
  bool Write(const MemberGossipQueue::Subject& subject,
             MemberMessageWriter* writer,
             TimePoint now) const;
  void EmitDatagram(const std::string& to, const MemberMessageWriter& writer);
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
  // Number of further datagrams that carry the confirmations.
  int m_remaining_confirmation_sends = 0;
  std::deque<Sync> m_syncs;
  std::vector<MemberDatagram> m_output;
  // Number of bytes that may be sent now.
  double m_budget_bytes;
  TimePoint m_refilled_at;
  Counters m_counters;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_MEMBER_SENDER_H_
