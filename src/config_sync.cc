// Sources of the configuration and the order in which they are asked.
#include "config_sync.h"

#include <utility>

#include "log_event.h"

namespace bramleybank {
namespace {

constexpr Duration kPollInterval = std::chrono::seconds(2);
constexpr Duration kRequestTimeout = std::chrono::seconds(3);
// A platform that is slow at the start is not waited for.
constexpr Duration kStartPeerInterval = std::chrono::seconds(1);
constexpr size_t kScanLimit = 500;

}  // namespace

ConfigSync::ConfigSync(ConfigLog* log,
                       ConfigSyncHooks hooks,
                       ClockHook clock,
                       RandomHook random)
    : m_log(log),
      m_hooks(std::move(hooks)),
      m_clock(std::move(clock)),
      m_random(std::move(random)),
      m_next_poll(m_clock()),
      m_next_start_peer(m_next_poll + kStartPeerInterval) {}

void ConfigSync::Tick() {
  const TimePoint now = m_clock();
  if (m_platform.id != 0 && now >= m_platform.deadline) {
    m_platform.id = 0;
    OnPlatformFailed();
  }
  if (m_peer.id != 0 && now >= m_peer.deadline) {
    m_peer.id = 0;
    ++m_counters.peer_failures;
  }
  if (!m_ready && now >= m_next_start_peer) {
    m_next_start_peer = now + kStartPeerInterval;
    AskAnyPeer();
  }
  if (now >= m_next_poll && m_platform.id == 0) {
    // Three quarters to five quarters of the interval.
    const auto span = static_cast<uint64_t>(kPollInterval.count() / 2);
    m_next_poll = now + kPollInterval * 3 / 4 +
                  Duration(static_cast<int64_t>(m_random() % span));
    StartPlatform();
  }
}

void ConfigSync::OnHigherNumber(const std::string& peer, uint64_t number) {
  if (number > m_log->number() && !peer.empty()) {
    AskPeer(peer);
  }
}

void ConfigSync::PollNow() {
  m_next_poll = m_clock();
}

bool ConfigSync::Begin(Request* request) {
  if (request->id != 0) {
    return false;
  }
  *request = {m_next_request++, m_clock() + kRequestTimeout};
  return true;
}

bool ConfigSync::End(Request* request, uint64_t id) {
  if (request->id != id) {
    return false;
  }
  request->id = 0;
  return true;
}

void ConfigSync::StartPlatform() {
  if (m_needs_snapshot) {
    ReadSnapshot();
  } else {
    ScanLog();
  }
}

void ConfigSync::ReadSnapshot() {
  if (!Begin(&m_platform)) {
    return;
  }
  m_hooks.read_snapshot([this, id = m_platform.id](ConfigObjectStatus status,
                                                   const std::string& text) {
    if (!End(&m_platform, id)) {
      return;
    }
    if (status == ConfigObjectStatus::kUnavailable) {
      OnPlatformFailed();
    } else {
      OnSnapshot(status, text);
    }
  });
}

void ConfigSync::OnSnapshot(ConfigObjectStatus status,
                            const std::string& text) {
  if (status == ConfigObjectStatus::kNotFound) {
    // The log starts at 1 until the first snapshot is written.
    if (!m_log->has_config()) {
      m_log->Load({});
    }
  } else {
    Reason error;
    auto snapshot = ParseConfigSnapshot(text, &error);
    if (!snapshot) {
      Refuse(error);
      AskAnyPeer();
      return;
    }
    // An older snapshot is of no use, but the log may go on from here.
    m_log->Load(std::move(*snapshot));
  }
  m_needs_snapshot = false;
  ScanLog();
}

void ConfigSync::ScanLog() {
  if (!Begin(&m_platform)) {
    return;
  }
  m_hooks.scan_log(m_log->number(), kScanLimit,
                   [this, id = m_platform.id](
                       const std::optional<std::vector<ConfigLogRow>>& rows) {
                     if (!End(&m_platform, id)) {
                       return;
                     }
                     if (rows) {
                       OnRows(*rows);
                     } else {
                       OnPlatformFailed();
                     }
                   });
}

void ConfigSync::OnRows(const std::vector<ConfigLogRow>& rows) {
  m_platform_down = false;
  for (const ConfigLogRow& row : rows) {
    Reason error;
    std::optional<ConfigChange> change = ParseConfigChange(row.value, &error);
    if (!change) {
      Refuse(error);
      OnLogAdvanced();
      return;
    }
    change->number = row.number;
    if (!Take(*change)) {
      OnLogAdvanced();
      return;
    }
  }
  if (rows.size() == kScanLimit) {
    OnLogAdvanced();
    ScanLog();
    return;
  }
  SetReady();
}

bool ConfigSync::Take(const ConfigChange& change) {
  switch (m_log->Apply(change)) {
    case ConfigApply::kApplied:
    case ConfigApply::kOld:
      return true;
    case ConfigApply::kRefused:
      Refuse(m_log->last_reason());
      return false;
    case ConfigApply::kGap:
      Refuse({ResultCode::kConfigurationBehind,
              "changes between " + std::to_string(m_log->number()) + " and " +
                  std::to_string(change.number) + " are missing"});
      // Rows below a snapshot may have been removed; a peer may be ahead.
      m_needs_snapshot = true;
      AskAnyPeer();
      return false;
  }
  return false;
}

void ConfigSync::OnPlatformFailed() {
  ++m_counters.platform_failures;
  if (!m_platform_down) {
    m_platform_down = true;
    LogLine(LogEventId::kPlatformUnreachable).Field("for", "configuration");
  }
  if (!m_ready) {
    AskAnyPeer();
  }
}

void ConfigSync::AskAnyPeer() {
  const std::vector<std::string> peers = m_hooks.live_peers();
  if (!peers.empty()) {
    AskPeer(peers[m_random() % peers.size()]);
  }
}

void ConfigSync::AskPeer(const std::string& peer) {
  if (!Begin(&m_peer)) {
    return;
  }
  const uint64_t from = m_log->has_config() ? m_log->number() : 0;
  m_hooks.fetch_from_peer(
      peer, from,
      [this, id = m_peer.id](const std::optional<ConfigAnswer>& answer) {
        if (!End(&m_peer, id)) {
          return;
        }
        if (answer) {
          OnPeerAnswer(*answer);
          return;
        }
        ++m_counters.peer_failures;
        // The platform has it as well.
        PollNow();
      });
}

void ConfigSync::OnPeerAnswer(const ConfigAnswer& answer) {
  if (answer.snapshot) {
    if (m_log->Load(*answer.snapshot)) {
      m_needs_snapshot = false;
    }
  }
  for (const ConfigChange& change : answer.changes) {
    if (!Take(change)) {
      OnLogAdvanced();
      return;
    }
  }
  // A peer without a configuration answers with nothing.
  if (m_log->has_config() && m_log->number() >= answer.number &&
      (answer.number > 0 || answer.snapshot)) {
    SetReady();
  }
}

ConfigAnswer ConfigSync::AnswerPeer(uint64_t from_number) {
  return m_ready ? m_log->AnswerFrom(from_number) : ConfigAnswer{};
}

void ConfigSync::Refuse(const Reason& reason) {
  ++m_counters.refused;
  // The same row is read again with every poll.
  if (reason != m_last_reason) {
    LogLine(LogEventId::kConfigRefused).Field("reason", reason.detail);
  }
  m_last_reason = reason;
}

void ConfigSync::SetReady() {
  m_ready = true;
  OnLogAdvanced();
}

void ConfigSync::OnLogAdvanced() {
  // Before the first source was read to its end, a lower number than this
  // daemon had before its restart could come into force again.
  if (!m_ready || (m_any_announced && m_log->number() <= m_announced)) {
    return;
  }
  m_any_announced = true;
  m_announced = m_log->number();
  LogLine(LogEventId::kConfigInForce)
      .Field("number", static_cast<long long>(m_announced));
  m_hooks.on_config(m_log->Snapshot());
}

}  // namespace bramleybank
