// Reads the configuration sources, and chooses which one to ask next.
#include "config_sync.h"

#include <utility>

#include "log_event.h"

namespace bramleybank {
namespace {

constexpr Duration kPollInterval = std::chrono::seconds(2);
constexpr Duration kRequestTimeout = std::chrono::seconds(3);
// A daemon that is not ready asks a peer at this interval, even while a request
// to the platform is in flight, so that a slow platform does not delay startup.
constexpr Duration kStartupPeerInterval = std::chrono::seconds(1);
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
      m_next_startup_fetch(m_next_poll + kStartupPeerInterval) {}

void ConfigSync::Tick() {
  const TimePoint now = m_clock();
  if (m_platform_request.id != 0 && now >= m_platform_request.deadline) {
    m_platform_request.id = 0;
    OnPlatformFailed();
  }
  if (m_peer_request.id != 0 && now >= m_peer_request.deadline) {
    m_peer_request.id = 0;
    ++m_counters.peer_failures;
  }
  if (!m_ready && now >= m_next_startup_fetch) {
    m_next_startup_fetch = now + kStartupPeerInterval;
    FetchFromAnyPeer();
  }
  if (now >= m_next_poll && m_platform_request.id == 0) {
    // Jitter: 75 % to 125 % of the interval.
    const auto span = static_cast<uint64_t>(kPollInterval.count() / 2);
    m_next_poll = now + kPollInterval * 3 / 4 +
                  Duration(static_cast<int64_t>(m_random() % span));
    PollPlatform();
  }
}

void ConfigSync::OnHigherNumber(const std::string& peer, uint64_t number) {
  if (number > m_log->number() && !peer.empty()) {
    FetchFromPeer(peer);
  }
}

void ConfigSync::PollNow() {
  m_next_poll = m_clock();
}

bool ConfigSync::BeginRequest(Request* request) {
  if (request->id != 0) {
    return false;
  }
  *request = {m_next_request_id++, m_clock() + kRequestTimeout};
  return true;
}

bool ConfigSync::EndRequest(Request* request, uint64_t id) {
  if (request->id != id) {
    return false;
  }
  request->id = 0;
  return true;
}

void ConfigSync::PollPlatform() {
  if (m_needs_snapshot) {
    ReadSnapshot();
  } else {
    ScanLog();
  }
}

void ConfigSync::ReadSnapshot() {
  if (!BeginRequest(&m_platform_request)) {
    return;
  }
  m_hooks.read_snapshot(
      [this, id = m_platform_request.id](SnapshotReadStatus status,
                                         const std::string& text) {
        if (!EndRequest(&m_platform_request, id)) {
          return;
        }
        if (status == SnapshotReadStatus::kUnavailable) {
          OnPlatformFailed();
        } else {
          OnSnapshot(status, text);
        }
      });
}

void ConfigSync::OnSnapshot(SnapshotReadStatus status,
                            const std::string& text) {
  if (status == SnapshotReadStatus::kNotFound) {
    // Until the first snapshot is written, the log contains all changes from
    // number 1 on.
    if (!m_log->has_config()) {
      m_log->Load({});
    }
  } else {
    Reason error;
    auto snapshot = ParseConfigSnapshot(text, &error);
    if (!snapshot) {
      RecordRefusal(error);
      FetchFromAnyPeer();
      return;
    }
    // Load() ignores a snapshot that is not newer. In that case the log may
    // still contain the rows after the current number.
    m_log->Load(std::move(*snapshot));
  }
  m_needs_snapshot = false;
  ScanLog();
}

void ConfigSync::ScanLog() {
  if (!BeginRequest(&m_platform_request)) {
    return;
  }
  m_hooks.scan_log(m_log->number(), kScanLimit,
                   [this, id = m_platform_request.id](
                       const std::optional<std::vector<ConfigLogRow>>& rows) {
                     if (!EndRequest(&m_platform_request, id)) {
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
      RecordRefusal(error);
      OnLogAdvanced();
      return;
    }
    change->number = row.number;
    if (!ApplyChange(*change)) {
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

bool ConfigSync::ApplyChange(const ConfigChange& change) {
  switch (m_log->Apply(change)) {
    case ConfigApplyResult::kApplied:
    case ConfigApplyResult::kAlreadyApplied:
      return true;
    case ConfigApplyResult::kRefused:
      RecordRefusal(m_log->last_reason());
      return false;
    case ConfigApplyResult::kGap:
      RecordRefusal({ResultCode::kConfigurationBehind,
                     "changes between " + std::to_string(m_log->number()) +
                         " and " + std::to_string(change.number) +
                         " are missing"});
      // Rows that a snapshot contains may have been removed from the log. A
      // peer may have a higher number as well.
      m_needs_snapshot = true;
      FetchFromAnyPeer();
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
    FetchFromAnyPeer();
  }
}

void ConfigSync::FetchFromAnyPeer() {
  const std::vector<std::string> peers = m_hooks.live_peers();
  if (!peers.empty()) {
    FetchFromPeer(peers[m_random() % peers.size()]);
  }
}

void ConfigSync::FetchFromPeer(const std::string& peer) {
  if (!BeginRequest(&m_peer_request)) {
    return;
  }
  const uint64_t after = m_log->has_config() ? m_log->number() : 0;
  m_hooks.fetch_from_peer(peer, after,
                          [this, id = m_peer_request.id](
                              const std::optional<ConfigAnswer>& answer) {
                            if (!EndRequest(&m_peer_request, id)) {
                              return;
                            }
                            if (answer) {
                              OnPeerAnswer(*answer);
                              return;
                            }
                            ++m_counters.peer_failures;
                            // The platform has the changes as well.
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
    if (!ApplyChange(change)) {
      OnLogAdvanced();
      return;
    }
  }
  // A peer without a configuration sends an empty answer, which does not make
  // this daemon ready.
  if (m_log->has_config() && m_log->number() >= answer.number &&
      (answer.number > 0 || answer.snapshot)) {
    SetReady();
  }
}

ConfigAnswer ConfigSync::AnswerPeer(uint64_t after) {
  return m_ready ? m_log->AnswerAfter(after) : ConfigAnswer{};
}

void ConfigSync::RecordRefusal(const Reason& reason) {
  ++m_counters.refused;
  // Every poll reads the refused row again, so a repeated reason is logged only
  // once.
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
  // Nothing is announced before one source has been read completely: otherwise
  // a number lower than the one that this daemon had before its restart could
  // come into force.
  if (!m_ready || (m_has_announced && m_log->number() <= m_announced_number)) {
    return;
  }
  m_has_announced = true;
  m_announced_number = m_log->number();
  LogLine(LogEventId::kConfigInForce)
      .Field("number", static_cast<long long>(m_announced_number));
  m_hooks.on_config(m_log->Snapshot());
}

}  // namespace bramleybank
