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

/// One row of the configuration log as read from the platform.
struct ConfigLogRow {
  uint64_t number = 0;
  std::string value;

  friend bool operator==(const ConfigLogRow&, const ConfigLogRow&) = default;
};

/// Outcome of reading the snapshot object.
enum class SnapshotReadStatus { kFound, kNotFound, kUnavailable };

/// Access to the configuration sources. Callbacks run asynchronously and at
/// most once. A request whose callback has not run after 3 s counts as failed.
struct ConfigSyncHooks {
  using ScanCallback =
      std::function<void(std::optional<std::vector<ConfigLogRow>> rows)>;
  using SnapshotCallback =
      std::function<void(SnapshotReadStatus status, const std::string& text)>;
  using PeerCallback = std::function<void(std::optional<ConfigAnswer> answer)>;

  /// Reads at most `limit` rows of the log with numbers above `after`, in
  /// ascending order.
  std::function<void(uint64_t after, size_t limit, ScanCallback callback)>
      scan_log;
  std::function<void(SnapshotCallback callback)> read_snapshot;
  /// Asks a daemon for the changes above `after`; 0 asks for the whole
  /// configuration.
  std::function<
      void(const std::string& peer, uint64_t after, PeerCallback callback)>
      fetch_from_peer;
  /// @returns the peer addresses of the live members other than this daemon.
  std::function<std::vector<std::string>()> live_peers;
  /// Called after each batch of changes, with strictly increasing numbers.
  std::function<void(std::shared_ptr<const ConfigSnapshot> snapshot)> on_config;
};

/// Chooses the source to fetch from. At startup it reads the platform (snapshot
/// object, then the log) and, when that fails or takes more than 1 s, asks a
/// live peer. Afterwards it reads new rows every 2 s with jitter, and asks a
/// peer immediately when that peer is known to have a higher number.
class ConfigSync {
 public:
  struct Counters {
    uint64_t platform_failures = 0;
    uint64_t peer_failures = 0;
    /// Changes and snapshots that were malformed or could not be applied.
    uint64_t refused = 0;
  };

  /// @param log must outlive this object and every callback of the hooks.
  ConfigSync(ConfigLog* log,
             ConfigSyncHooks hooks,
             ClockHook clock,
             RandomHook random);

  /// Handles timeouts and starts polls that are due; call it about every 100
  /// ms.
  void Tick();

  /// Called when gossip reports a configuration number of another daemon;
  /// numbers that are not higher than the current one are ignored.
  /// @param peer daemon that has the number in force, and that is asked for it;
  /// when empty, the next poll fetches the changes.
  void OnHigherNumber(const std::string& peer, uint64_t number);

  /// Makes the next Tick() poll the platform.
  void PollNow();

  /// Reports a higher number through `on_config`. Call it when a change was
  /// applied to the log from elsewhere, such as a change that this daemon
  /// published.
  void OnLogAdvanced();

  /// Answers a daemon that asks for the configuration. The answer is empty
  /// while this daemon is not ready itself.
  ConfigAnswer AnswerPeer(uint64_t after);

  /// Whether at least one source has been read completely, so that the
  /// configuration is not an outdated one.
  bool is_ready() const { return m_ready; }
  const Counters& counters() const { return m_counters; }
  /// Why the last change or snapshot was refused.
  const Reason& last_reason() const { return m_last_reason; }

 private:
  /// One outstanding request to a source.
  struct Request {
    // Identifies the request, so that late answers to abandoned requests are
    // ignored; 0 when none is in flight.
    uint64_t id = 0;
    TimePoint deadline;
  };

  /// @returns false when a request to this source is already in flight.
  bool BeginRequest(Request* request);
  /// @returns false when the request `id` was abandoned.
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
  /// @returns false when the change was refused or left a gap in the numbers.
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
  // When to ask a peer next while this daemon is not ready.
  TimePoint m_next_startup_fetch;
  // Set while nothing is loaded, or while the rows that follow the current
  // number are missing from the log.
  bool m_needs_snapshot = true;
  bool m_ready = false;
  // Set by a platform failure, cleared by the next successful read of the log.
  bool m_platform_down = false;
  // Last number that was passed to `on_config`; valid if m_has_announced is
  // set.
  uint64_t m_announced_number = 0;
  bool m_has_announced = false;
  Counters m_counters;
  Reason m_last_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_CONFIG_SYNC_H_
