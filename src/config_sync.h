// Keeps the configuration of this daemon up to date, from the platform or from
// other daemons.
#ifndef BRAMLEYBANK_SRC_CONFIG_SYNC_H_
#define BRAMLEYBANK_SRC_CONFIG_SYNC_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bramleybank/result_code.h"
#include "config_log.h"
#include "hooks.h"

namespace bramleybank {

/// One row of the platform's log as read.
struct ConfigLogRow {
  uint64_t number = 0;
  std::string value;

  friend bool operator==(const ConfigLogRow&, const ConfigLogRow&) = default;
};

enum class SnapshotReadStatus { kFound, kNotFound, kUnavailable };

/// Access to the sources. Callbacks run later, at most once; one that is never
/// called counts as a failure after 3 s.
struct ConfigSyncHooks {
  using ScanCallback =
      std::function<void(std::optional<std::vector<ConfigLogRow>> rows)>;
  using SnapshotCallback =
      std::function<void(SnapshotReadStatus status, const std::string& text)>;
  using PeerCallback = std::function<void(std::optional<ConfigAnswer> answer)>;

  /// Reads rows of the log above `after`, in order, at most `limit`.
  std::function<void(uint64_t after, size_t limit, ScanCallback callback)>
      scan_log;
  std::function<void(SnapshotCallback callback)> read_snapshot;
  /// Asks a daemon for what it has above `after`; 0 asks for everything.
  std::function<
      void(const std::string& peer, uint64_t after, PeerCallback callback)>
      fetch_from_peer;
  /// Live members other than this daemon.
  std::function<std::vector<std::string>()> live_peers;
  /// Called after each batch of changes. Never called with a lower number.
  std::function<void(std::shared_ptr<const ConfigSnapshot> snapshot)> on_config;
};

/// Decides where to fetch from. At the start it asks the platform (snapshot
/// object, then the log) and, when that fails or takes more than 1 s, a live
/// peer. Then it reads new rows every 2 s with jitter, and asks a peer at once
/// that is known to have a higher number.
class ConfigSync {
 public:
  struct Counters {
    uint64_t platform_failures = 0;
    uint64_t peer_failures = 0;
    /// Changes or answers that were refused as malformed.
    uint64_t refused = 0;
  };

  /// @param log outlives this object and every callback of the hooks.
  ConfigSync(ConfigLog* log,
             ConfigSyncHooks hooks,
             ClockHook clock,
             RandomHook random);

  /// Call every 100 ms or so.
  void Tick();

  /// News of the membership: some daemon has a higher number.
  /// @param peer has it in force; empty when that is not known, which leaves
  /// it to the next poll.
  void OnHigherNumber(const std::string& peer, uint64_t number);

  /// Fetches new rows at the next tick.
  void PollNow();

  /// Passes the configuration on when the log has grown otherwise, such as by
  /// an accepted change of this daemon.
  void OnLogAdvanced();

  /// Answers a daemon that asks for the configuration; with nothing while this
  /// daemon is not ready itself.
  ConfigAnswer AnswerPeer(uint64_t after);

  /// Whether one source was read to its end, so that the configuration is not
  /// one that others have left behind.
  bool is_ready() const { return m_ready; }
  const Counters& counters() const { return m_counters; }
  /// Why the last change or answer was not taken.
  const Reason& last_reason() const { return m_last_reason; }

 private:
  /// One outstanding request to a source.
  struct Request {
    // Distinguishes answers of abandoned requests; 0 while idle.
    uint64_t id = 0;
    TimePoint deadline;
  };

  bool BeginRequest(Request* request);
  bool EndRequest(Request* request, uint64_t id);
  void PollPlatform();
  void ReadSnapshot();
  void ScanLog();
  void OnSnapshot(SnapshotReadStatus status, const std::string& text);
  void OnRows(const std::vector<ConfigLogRow>& rows);
  void OnPlatformFailed();
  void FetchFromAnyPeer();
  void FetchFromPeer(const std::string& peer);
  void OnPeerAnswer(const ConfigAnswer& answer);
  /// @returns false when the change was refused or did not follow.
  bool ApplyChange(const ConfigChange& change);
  void RecordRefusal(const Reason& reason);
  void SetReady();

  ConfigLog* m_log;
  ConfigSyncHooks m_hooks;
  ClockHook m_clock;
  RandomHook m_random;
  Request m_platform_request;
  Request m_peer_request;
  uint64_t m_next_request_id = 1;
  TimePoint m_next_poll;
  // When to ask a peer while not ready.
  TimePoint m_next_startup_fetch;
  // Rows are missing before the next ones of the log, or nothing is loaded.
  bool m_needs_snapshot = true;
  bool m_ready = false;
  // Since the last failure of the platform nothing was read from it.
  bool m_platform_down = false;
  uint64_t m_announced_number = 0;
  bool m_has_announced = false;
  Counters m_counters;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_SYNC_H_
