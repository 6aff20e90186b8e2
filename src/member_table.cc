// Merging of updates into the member table.
#include "member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

using enum MemberState;

// A report of an older death is not gossip about a recent failure. It comes
// from a daemon that was partitioned from the group or paused.
constexpr Duration kMaxRecentDeathAge = std::chrono::seconds(10);

}  // namespace

MemberTable::MemberTable(const MemberInfo& self, TimePoint now) {
  m_self = &m_rows.emplace(self.peer, MemberRow{self, now}).first->second;
  m_highest_config = self.config_number;
}

MemberMergeResult MemberTable::Merge(const MemberInfo& update,
                                     Duration dead_for,
                                     Duration min_suspicion,
                                     TimePoint now) {
  if (update.peer == m_self->info.peer) {
    return {};
  }
  const auto it = m_rows.find(update.peer);
  if (it == m_rows.end()) {
    return Insert(update, dead_for, now);
  }
  MemberRow* row = &it->second;
  if (update.start_number < row->info.start_number) {
    return {};
  }
  MemberMergeResult merge;
  if (update.start_number > row->info.start_number) {
    row->info = update;
    row->since = IsLive(update.state) ? now : now - dead_for;
    m_highest_config = std::max(m_highest_config, update.config_number);
    m_live_stale = true;
    return {.changed = true, .config_changed = true};
  }
  merge.config_changed = RaiseConfig(row, update.config_number);
  merge.changed = MergeState(row, update, dead_for, min_suspicion, now,
                             &merge.needs_refutation);
  return merge;
}

MemberMergeResult MemberTable::Insert(const MemberInfo& update,
                                      Duration dead_for,
                                      TimePoint now) {
  const bool live = IsLive(update.state);
  if (!live && dead_for >= kDeadMemberRetention) {
    return {};
  }
  if (m_rows.size() >= kMaxMembers && !EvictOldestNonLive()) {
    ++m_dropped_when_full;
    return {};
  }
  m_rows.emplace(update.peer, MemberRow{update, live ? now : now - dead_for});
  m_highest_config = std::max(m_highest_config, update.config_number);
  m_live_stale = true;
  return {.changed = true, .config_changed = update.config_number > 0};
}

bool MemberTable::MergeState(MemberRow* row,
                             const MemberInfo& update,
                             Duration dead_for,
                             Duration min_suspicion,
                             TimePoint now,
                             bool* needs_refutation) {
  MemberInfo& info = row->info;
  if (info.state == kLeft) {
    return false;
  }
  if (update.state == kLeft) {
    SetState(row, kLeft, now - dead_for);
    return true;
  }
  if (update.incarnation < info.incarnation) {
    return false;
  }
  const bool newer = update.incarnation > info.incarnation;
  if (update.state != kDead) {
    if (!newer && !(update.state == kSuspect && info.state == kAlive)) {
      return false;
    }
    info.incarnation = update.incarnation;
    SetState(row, update.state, now);
    return true;
  }
  if (info.state == kDead) {
    info.incarnation = update.incarnation;
    return newer;
  }
  *needs_refutation = true;
  if (dead_for >= kMaxRecentDeathAge) {
    return false;
  }
  if (info.state == kSuspect) {
    if (now - row->since < min_suspicion) {
      return false;
    }
    info.incarnation = update.incarnation;
    SetState(row, kDead, now - dead_for);
    return true;
  }
  info.incarnation = update.incarnation;
  SetState(row, kSuspect, now);
  return true;
}

void MemberTable::SetState(MemberRow* row, MemberState state, TimePoint since) {
  if (IsLive(row->info.state) != IsLive(state)) {
    m_live_stale = true;
  }
  row->info.state = state;
  row->since = since;
}

bool MemberTable::RaiseConfig(MemberRow* row, uint64_t number) {
  if (number <= row->info.config_number) {
    return false;
  }
  row->info.config_number = number;
  m_highest_config = std::max(m_highest_config, number);
  return true;
}

bool MemberTable::DeclareSuspect(std::string_view peer, TimePoint now) {
  const auto it = m_rows.find(peer);
  if (it == m_rows.end() || &it->second == m_self ||
      it->second.info.state != kAlive) {
    return false;
  }
  SetState(&it->second, kSuspect, now);
  return true;
}

bool MemberTable::DeclareDead(std::string_view peer, TimePoint now) {
  const auto it = m_rows.find(peer);
  if (it == m_rows.end() || it->second.info.state != kSuspect) {
    return false;
  }
  SetState(&it->second, kDead, now);
  return true;
}

void MemberTable::RestartSuspicions(TimePoint now) {
  for (auto& [peer, row] : m_rows) {
    if (row.info.state == kSuspect) {
      row.since = now;
    }
  }
}

void MemberTable::Refute(uint64_t incarnation) {
  m_self->info.incarnation =
      std::max(m_self->info.incarnation, incarnation) + 1;
}

void MemberTable::RaiseStartNumber(uint64_t start_number) {
  m_self->info.start_number =
      std::max(m_self->info.start_number, start_number) + 1;
  m_live_stale = true;
}

void MemberTable::MarkSelfLeft(TimePoint now) {
  SetState(m_self, kLeft, now);
}

void MemberTable::ConfirmConfig(uint64_t number) {
  RaiseConfig(m_self, number);
}

void MemberTable::Expire(TimePoint now) {
  const size_t removed = std::erase_if(m_rows, [&](const auto& entry) {
    const MemberRow& row = entry.second;
    return &row != m_self && !IsLive(row.info.state) &&
           now - row.since >= kDeadMemberRetention;
  });
  m_live_stale = m_live_stale || removed > 0;
}

bool MemberTable::EvictOldestNonLive() {
  auto oldest = m_rows.end();
  for (auto it = m_rows.begin(); it != m_rows.end(); ++it) {
    if (&it->second != m_self && !IsLive(it->second.info.state) &&
        (oldest == m_rows.end() || it->second.since < oldest->second.since)) {
      oldest = it;
    }
  }
  if (oldest == m_rows.end()) {
    return false;
  }
  m_rows.erase(oldest);
  return true;
}

const MemberRow* MemberTable::Find(std::string_view peer) const {
  const auto it = m_rows.find(peer);
  return it == m_rows.end() ? nullptr : &it->second;
}

const std::vector<const MemberRow*>& MemberTable::Live() const {
  RefreshLive();
  return m_live;
}

uint64_t MemberTable::LiveHash() const {
  RefreshLive();
  return m_live_hash;
}

void MemberTable::RefreshLive() const {
  if (!m_live_stale) {
    return;
  }
  m_live.clear();
  m_live_hash = 0;
  for (const auto& [peer, row] : m_rows) {
    if (IsLive(row.info.state)) {
      m_live.push_back(&row);
      const uint64_t seed = m_live_hash ^ row.info.start_number;
      m_live_hash = XXH64(peer.data(), peer.size(), seed);
    }
  }
  m_live_stale = false;
}

std::string MemberTable::ConfirmationBits(uint64_t number) const {
  const auto& live = Live();
  std::string bits((live.size() + 7) / 8, '\0');
  for (size_t i = 0; i < live.size(); ++i) {
    if (live[i]->info.config_number >= number) {
      bits[i / 8] = static_cast<char>(bits[i / 8] | (1 << (i % 8)));
    }
  }
  return bits;
}

bool MemberTable::MergeConfirmationBits(uint64_t number,
                                        uint64_t live_hash,
                                        std::string_view bits) {
  const auto& live = Live();
  if (live_hash != m_live_hash || bits.size() != (live.size() + 7) / 8) {
    return false;
  }
  bool any_new = false;
  for (size_t i = 0; i < live.size(); ++i) {
    const bool confirmed = (bits[i / 8] >> (i % 8) & 1) != 0;
    if (confirmed && live[i]->info.config_number < number &&
        live[i] != m_self) {
      const auto it = m_rows.find(live[i]->info.peer);
      assert(it != m_rows.end());
      any_new = RaiseConfig(&it->second, number) || any_new;
    }
  }
  return any_new;
}

}  // namespace bramleybank
