// Cooperation of this daemon with the others: membership, peer links,
// configuration and copies of streams.
#ifndef BRAMLEYBANK_SRC_DAEMON_CLUSTER_H_
#define BRAMLEYBANK_SRC_DAEMON_CLUSTER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bramleybank/result_code.h"
#include "config_publisher.h"
#include "config_snapshot.h"
#include "hooks.h"
#include "member_info.h"
#include "route_subset.h"
#include "stream_copy_link.h"

namespace bramleybank {

class EventLoop;
class HttpClient;
class MetricRegistry;
class PlatformTable;
struct ConfigConfirmations;
struct DaemonSettings;
struct StreamEnvironment;

/// Events and queries that DaemonCluster passes to the daemon.
struct DaemonClusterHooks {
  RandomHook random;
  /// A newer configuration is in force in this daemon.
  std::function<void(std::shared_ptr<const ConfigSnapshot>)> on_config;
  /// The list of live members, which includes this daemon, has changed.
  std::function<void(const std::vector<SubsetMember>&)> on_members;
  std::function<void(const Notice&)> on_notice;
  // Events of the streams of this daemon.
  std::function<void(uint64_t generation, uint64_t position)> on_copied;
  std::function<void(uint64_t generation)> on_unprotected;
  std::function<void(uint64_t generation)> on_superseded;
  std::function<std::optional<StreamSnapshot>(uint64_t generation)> release;
};

/// Membership, peer links and configuration of one daemon.
class DaemonCluster {
 public:
  DaemonCluster(EventLoop* loop,
                HttpClient* client,
                PlatformTable* table,
                MetricRegistry* metrics,
                const DaemonSettings& settings,
                DaemonClusterHooks hooks);
  ~DaemonCluster();
  DaemonCluster(const DaemonCluster&) = delete;
  DaemonCluster& operator=(const DaemonCluster&) = delete;

  /// Opens the peer port and starts to discover the other daemons.
  /// @returns false with last_reason() set when the port cannot be opened.
  bool Start();
  /// Announces to the other daemons that this one stops.
  void Leave();

  /// Sets the hooks of `environment` that concern stream copies.
  void ConnectCopies(StreamEnvironment* environment);
  StreamRecoveryHooks MakeRecoveryHooks();

  /// Publishes a change of the configuration.
  void Publish(const ConfigChange& change, ConfigPublisher::Callback callback);
  /// @returns which daemons have confirmed a configuration number.
  ConfigConfirmations Confirmations(uint64_t number) const;
  /// Tells all daemons that an endpoint is leaving, or is no longer leaving.
  void PublishLeaving(const std::string& address, bool leaving);

  /// @returns why this daemon is not ready; empty when it has a configuration.
  std::string NotReadyReason() const;
  /// @returns members, confirmations and sources as JSON.
  std::string StatusJson() const;
  void UpdateGauges();
  const Reason& last_reason() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_DAEMON_CLUSTER_H_
