// Caller of the soak test: sends requests over persistent connections and
// records their outcomes.
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

/// What a caller observed of one request.
struct SoakOutcome {
  std::string id;
  SoakKind kind = SoakKind::kRead;
  int gateway = 0;
  /// Incarnation of the gateway process that received the request, or -1 when
  /// the gateway restarted meanwhile. The configuration version must not
  /// decrease within one incarnation.
  int incarnation = 0;
  /// For probes: the only configuration version that has the probed route.
  uint64_t probed_version = 0;
  /// 0 when no complete response head was received.
  int status = 0;
  HttpHeaders headers;
  std::string body;
  /// Whether the answer ended properly according to its HTTP framing.
  bool is_complete = false;
  /// Whether the answer did not end within a timeout that only a hang exceeds.
  bool is_hung = false;
};

/// State that the soak's main thread shares with all callers.
struct SoakSharedState {
  /// ip:port of each gateway for callers, and the current incarnation of each
  /// gateway, which changes when the gateway stops or starts.
  std::vector<std::string> gateways;
  std::vector<std::unique_ptr<std::atomic<int>>> incarnations;
  /// Newest configuration version that has been published.
  std::atomic<uint64_t> config_version = 1;
  std::atomic<bool> is_stopping = false;
};

/// One blocking connection to a gateway, reused until the gateway closes it.
class SoakConnection {
 public:
  ~SoakConnection();
  /// Sends a request and reads its answer. A request is never sent twice: if a
  /// reused connection turns out to be closed, the outcome has no answer.
  void Exchange(const std::string& address,
                const std::string& request,
                SoakOutcome* outcome);

 private:
  bool Connect(const std::string& address);
  void Close();

  int m_fd = -1;
};

/// A thread that sends one request after another until it is told to stop.
class SoakCaller {
 public:
  SoakCaller(SoakSharedState* shared,
             std::string name,
             uint64_t seed,
             bool streams);
  ~SoakCaller();
  SoakCaller(const SoakCaller&) = delete;
  SoakCaller& operator=(const SoakCaller&) = delete;

  /// Waits for the thread to end. @returns all outcomes.
  const std::vector<SoakOutcome>& Join();

 private:
  void Run();
  void SendOne();
  std::string RequestFor(const SoakOutcome& outcome) const;

  SoakSharedState* m_shared;
  const std::string m_name;
  const bool m_streams;
  std::mt19937_64 m_random;
  std::map<int, SoakConnection> m_connections;
  std::vector<SoakOutcome> m_outcomes;
  std::thread m_thread;
};

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_SOAK_CALLER_H_
