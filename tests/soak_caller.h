// A caller of the soak: sends requests over connections that it keeps, and
// notes what it saw.
#ifndef BRAMLEYBANK_TESTS_SOAK_CALLER_H_
#define BRAMLEYBANK_TESTS_SOAK_CALLER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "http_types.h"

namespace bramleybank::testing {

enum class SoakKind : uint8_t { kCall, kRead, kStream, kProbe };

/// What a caller saw of one request.
struct SoakOutcome {
  std::string id;
  SoakKind kind = SoakKind::kRead;
  int gateway = 0;
  /// Start of the gateway that it went to; configurations may not go back
  /// within one.
  int incarnation = 0;
  /// Probes: the version of the configuration that has the route.
  uint64_t probed_version = 0;
  /// 0 when no whole head arrived.
  int status = 0;
  HttpHeaders headers;
  std::string body;
  /// The answer ended as HTTP says it must.
  bool is_whole = false;
  /// No end of the answer within a time that only a hang exceeds.
  bool is_hung = false;
};

/// What all callers share with the soak's driver.
struct SoakTargets {
  /// ip:port of each gateway for callers, and its starts so far.
  std::vector<std::string> gateways;
  std::vector<std::unique_ptr<std::atomic<int>>> incarnations;
  /// Newest version of the configuration that has been written.
  std::atomic<uint64_t> config_version = 1;
  std::atomic<bool> is_stopping = false;
};

/// One blocking connection to a gateway, kept as long as the gateway does.
class SoakConnection {
 public:
  ~SoakConnection();
  /// Sends a request and reads its answer. A request is sent once: when a kept
  /// connection turns out to be closed, that is what the caller sees.
  void Exchange(const std::string& address,
                const std::string& request,
                SoakOutcome* outcome);

 private:
  bool Connect(const std::string& address);
  void Close();

  int m_fd = -1;
};

/// A thread that sends one request after the other until it is told to stop.
class SoakCaller {
 public:
  SoakCaller(SoakTargets* targets,
             std::string name,
             uint64_t seed,
             bool streams);
  ~SoakCaller();
  SoakCaller(const SoakCaller&) = delete;
  SoakCaller& operator=(const SoakCaller&) = delete;

  /// Waits for the thread. @returns all outcomes.
  const std::vector<SoakOutcome>& Join();

 private:
  void Run();
  void SendOne();
  std::string RequestFor(const SoakOutcome& outcome) const;

  SoakTargets* m_targets;
  const std::string m_name;
  const bool m_streams;
  std::mt19937_64 m_random;
  std::map<int, SoakConnection> m_connections;
  std::vector<SoakOutcome> m_outcomes;
  std::thread m_thread;
};

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_SOAK_CALLER_H_
