// Faults of the soak: drawn from a seed, brought about from outside the
// programs, overlapping, and ended again.
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

/// Runs faults against one site on the calling thread.
class SoakFaults {
 public:
  SoakFaults(WireDeployment* site, SoakTargets* targets, uint64_t seed);

  /// Starts and ends faults for a time, then ends all and waits until every
  /// gateway serves with the newest configuration.
  void Run(std::chrono::milliseconds time);

  /// Faults in the order in which they began.
  const std::vector<std::string>& history() const { return m_history; }
  /// What went wrong with the processes themselves.
  const std::vector<std::string>& broken() const { return m_broken; }

 private:
  using Clock = std::chrono::steady_clock;
  /// A fault that lasts until its end is due and `end` has returned true.
  struct Active {
    /// What no other fault may touch meanwhile.
    std::string target;
    Clock::time_point due;
    std::function<bool()> end;
  };

  void StartOne();
  void EndDue(bool all);
  void Begin(const std::string& target,
             const std::string& what,
             std::function<void()> start,
             std::function<bool()> end);
  uint64_t Draw(uint64_t bound) { return m_random() % bound; }

  void KillGateway(int i);
  void TerminateGateway(int i);
  void PauseProcess(const std::string& target, ChildProcess* process);
  void DisturbServer(int server);
  void DisturbStore();
  void DisturbLink(const std::string& target,
                   const std::function<void(const nlohmann::json&)>& control);
  void ChangeConfig();
  void RestartServer(int server);
  ChildProcess* ServerProcess(int server);
  void ControlServer(int server, const nlohmann::json& control);
  void StartGateway(int i);
  void CheckGateways();

  WireDeployment* m_site;
  SoakTargets* m_targets;
  std::mt19937_64 m_random;
  std::vector<Active> m_active;
  std::set<std::string> m_busy;
  // Gateways that a fault has stopped.
  std::set<int> m_stopped;
  std::vector<std::string> m_history;
  std::vector<std::string> m_broken;
};

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_SOAK_FAULTS_H_
