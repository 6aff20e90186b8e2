// Byte budget and contents of membership datagrams.
#include "member_sender.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bramleybank/limits.h"
#include "member_table.h"

namespace bramleybank {
namespace {

// Rate plus burst stays within the cap of 8 KB in any second.
constexpr double kBytesPerSecond = 6000;
constexpr double kBurstBytes = 2000;
// Part of the budget that piggybacked updates leave to probes and answers.
constexpr double kReservedBytes = 600;
constexpr size_t kMaxSyncs = 8;
constexpr int kTransmissionFactor = 3;

}  // namespace

MemberSender::MemberSender(uint64_t cluster,
                           const MemberTable* table,
                           const MemberNotices* notices)
    : m_cluster(cluster),
      m_table(table),
      m_notices(notices),
      m_budget_bytes(kBurstBytes) {}

void MemberSender::Send(const MemberSendRequest& request, TimePoint now) {
  Refill(now);
  const double available_bytes = m_budget_bytes - kReservedBytes;
  const size_t max_bytes =
      std::min(kMaxMemberDatagramBytes,
               static_cast<size_t>(std::max(available_bytes, 0.0)));
  MemberMessageWriter writer = NewWriter(request, max_bytes);
  const MemberRow* receiver = m_table->Find(request.to);
  const bool needs_refutation =
      receiver != nullptr && receiver->info.state != MemberState::kAlive;
  if (request.claim) {
    writer.Add(*request.claim);
  } else if (needs_refutation) {
    Write(request.to, &writer, now);
  } else {
    // Other updates go only to members considered alive: sending them to dead
    // ones would use up their transmission count and the byte budget.
    m_queue.Take(TransmissionLimit(),
                 [&](const MemberGossipQueue::Subject& subject) {
                   return Write(subject, &writer, now);
                 });
  }
  EmitDatagram(request.to, writer);
}

MemberMessageWriter MemberSender::NewWriter(const MemberSendRequest& request,
                                            size_t max_bytes) {
  const MemberHeader header{.cluster = m_cluster,
                            .kind = request.kind,
                            .sequence = request.sequence,
                            .target = request.target,
                            .from = m_table->self()};
  ConfirmationUpdate confirmations;
  if (m_remaining_confirmation_sends > 0) {
    --m_remaining_confirmation_sends;
    confirmations.number = m_table->highest_config();
    confirmations.live_hash = m_table->LiveHash();
    confirmations.bits = m_table->ConfirmationBits(confirmations.number);
  }
  return {header, confirmations, max_bytes};
}

bool MemberSender::Write(const MemberGossipQueue::Subject& subject,
                         MemberMessageWriter* writer,
                         TimePoint now) const {
  if (const auto* peer = std::get_if<std::string>(&subject)) {
    const MemberRow* row = m_table->Find(*peer);
    return row == nullptr || writer->Add({row->info, now - row->since});
  }
  const auto& rows = m_notices->rows();
  const auto it = rows.find(std::get<MemberNotices::Key>(subject));
  return it == rows.end() ||
         writer->Add({it->second.notice, now - it->second.since});
}

void MemberSender::EmitDatagram(const std::string& to,
                                const MemberMessageWriter& writer) {
  std::string bytes = writer.Finish();
  if (static_cast<double>(bytes.size()) > m_budget_bytes) {
    ++m_counters.suppressed;
    return;
  }
  m_budget_bytes -= static_cast<double>(bytes.size());
  ++m_counters.datagrams;
  m_counters.bytes += bytes.size();
  m_output.push_back({to, std::move(bytes)});
}

void MemberSender::Refill(TimePoint now) {
  if (m_refilled_at != TimePoint{}) {
    const std::chrono::duration<double> passed = now - m_refilled_at;
    m_budget_bytes = std::min(m_budget_bytes + passed.count() * kBytesPerSecond,
                              kBurstBytes);
  }
  m_refilled_at = now;
}

void MemberSender::QueueGossip(const MemberGossipQueue::Subject& subject) {
  m_queue.Add(subject);
}

void MemberSender::QueueConfirmations() {
  m_remaining_confirmation_sends = TransmissionLimit();
}

bool MemberSender::has_pending_gossip() const {
  return !m_queue.empty() || m_remaining_confirmation_sends > 0;
}

int MemberSender::TransmissionLimit() const {
  const auto members = static_cast<double>(m_table->Live().size());
  return kTransmissionFactor *
         std::max(1, static_cast<int>(std::ceil(std::log2(members + 1))));
}

void MemberSender::StartSync(const std::string& to) {
  const bool queued =
      std::ranges::find(m_syncs, to, &Sync::to) != m_syncs.end();
  if (!queued && m_syncs.size() < kMaxSyncs) {
    m_syncs.emplace_back().to = to;
  }
}

void MemberSender::ContinueSync(TimePoint now) {
  Refill(now);
  if (m_syncs.empty() ||
      m_budget_bytes < kMaxMemberDatagramBytes + kReservedBytes) {
    return;
  }
  Sync sync = std::move(m_syncs.front());
  m_syncs.pop_front();
  MemberMessageWriter writer =
      NewWriter(MemberSendRequest{}, kMaxMemberDatagramBytes);
  const bool done = WriteSyncMembers(&sync, &writer, now) &&
                    WriteSyncNotices(&sync, &writer, now);
  EmitDatagram(sync.to, writer);
  if (!done) {
    m_syncs.push_back(std::move(sync));
  }
}

bool MemberSender::WriteSyncMembers(Sync* sync,
                                    MemberMessageWriter* writer,
                                    TimePoint now) const {
  const auto& rows = m_table->rows();
  for (auto it = rows.upper_bound(sync->after_member);
       !sync->members_done && it != rows.end(); ++it) {
    if (!writer->Add({it->second.info, now - it->second.since})) {
      return false;
    }
    sync->after_member = it->first;
  }
  sync->members_done = true;
  return true;
}

bool MemberSender::WriteSyncNotices(Sync* sync,
                                    MemberMessageWriter* writer,
                                    TimePoint now) const {
  const auto& rows = m_notices->rows();
  for (auto it = rows.upper_bound(sync->after_notice); it != rows.end(); ++it) {
    if (!writer->Add({it->second.notice, now - it->second.since})) {
      return false;
    }
    sync->after_notice = it->first;
  }
  return true;
}

std::vector<MemberDatagram> MemberSender::TakeOutput() {
  return std::exchange(m_output, {});
}

}  // namespace bramleybank
