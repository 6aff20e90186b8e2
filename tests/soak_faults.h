// Fault injection of the soak test: temporary, overlapping faults that are
// chosen by a seed and injected from outside the processes.
#ifndef BRAMLEYBANK_TESTS_SOAK_FAULTS_H_
#define BRAMLEYBANK_TESTS_SOAK_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "soak_caller.h"
#include "wire_deployment.h"

namespace bramleybank::testing {

/// Injects faults into one deployment on the calling thread.
class SoakFaults {
 public:
  SoakFaults(WireDeployment* deployment,
             SoakSharedState* shared,
             uint64_t seed);

  /// Starts and ends faults for `time`, then ends all faults and waits until
  /// every gateway serves the newest configuration.
  void Run(std::chrono::milliseconds time);

  /// Descriptions of all faults, in the order in which they started.
  const std::vector<std::string>& history() const { return m_history; }
  /// Processes that crashed or ended with an unexpected exit code.
  const std::vector<std::string>& failures() const { return m_failures; }

 private:
  using Clock = std::chrono::steady_clock;
  /// A fault in progress. It lasts until `due` has passed and `end` has
  /// returned true.
  struct ActiveFault {
    /// The affected component. It has at most one fault at a time.
    std::string target;
    Clock::time_point due;
    std::function<bool()> end;
  };

  void StartRandomFault();
  void EndDueFaults(bool all);
  /// Starts a fault and schedules its end, unless `target` already has a fault.
  void StartFault(const std::string& target,
                  const std::string& what,
                  std::function<void()> start,
                  std::function<bool()> end);
  uint64_t RandomBelow(uint64_t bound) { return m_random() % bound; }

  void KillGateway(int i);
  void TerminateGateway(int i);
  void PauseProcess(const std::string& target, ChildProcess* process);
  void InjectServerFault(int server);
  void InjectStoreFault();
  void InjectLinkFault(
      const std::string& target,
      const std::function<void(const nlohmann::json&)>& control);
  void ChangeConfig();
  void RestartServer(int server);
  ChildProcess* ServerProcess(int server);
  void ControlServer(int server, const nlohmann::json& control);
  void StartGateway(int i);
  void CheckGateways();

  WireDeployment* m_deployment;
  SoakSharedState* m_shared;
  std::mt19937_64 m_random;
  std::vector<ActiveFault> m_active;
  std::set<std::string> m_faulty_targets;
  // Gateways that are down because of a fault.
  std::set<int> m_stopped;
  std::vector<std::string> m_history;
  std::vector<std::string> m_failures;
};

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_SOAK_FAULTS_H_
