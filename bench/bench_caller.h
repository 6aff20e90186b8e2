// A caller for benchmarks: requests one streamed generation, reconnects when
// the connection is lost, records the arrival times of the tokens, and
// optionally checks every token.
#ifndef BRAMLEYBANK_BENCH_BENCH_CALLER_H_
#define BRAMLEYBANK_BENCH_BENCH_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "answer_chain.h"
#include "bramleybank/handle.h"
#include "hooks.h"
#include "http_sse_parser.h"

namespace bramleybank {

class EventLoop;
class HttpClient;
struct HttpOutcome;

struct BenchRequest {
  /// Base URLs, used in round-robin order after each lost connection.
  std::vector<std::string> targets;
  std::string prompt;
  uint64_t max_tokens = 1;
  /// Parses every token and checks that none is missing, repeated or from
  /// another answer.
  bool check = false;

  friend bool operator==(const BenchRequest&, const BenchRequest&) = default;
};

/// One caller. `loop` and `client` must outlive it.
class BenchCaller {
 public:
  BenchCaller(EventLoop* loop, HttpClient* client, BenchRequest request);
  ~BenchCaller();
  BenchCaller(const BenchCaller&) = delete;
  BenchCaller& operator=(const BenchCaller&) = delete;

  void Start();

  /// Restarts `longest_gap`: it then covers only gaps between two tokens of
  /// which the second one arrives after this call.
  void ResetLongestGap() { m_longest_gap = Duration(0); }

  uint64_t tokens() const { return m_tokens; }
  /// Time from the first request to the first token.
  Duration first_token() const { return m_first_token; }
  const std::vector<Duration>& gaps() const { return m_gaps; }
  Duration longest_gap() const { return m_longest_gap; }
  /// Event id of the last token; it names the engine and the copy holder.
  const std::string& last_id() const { return m_last_id; }
  bool is_finished() const { return m_is_finished; }
  /// The answer has all of its tokens and, if checked, no fault.
  bool is_complete() const { return m_is_complete; }
  /// Number of faults that the checker found (tokens missing, repeated or from
  /// another answer); 0 if the answer is not checked.
  size_t faults() const;
  /// Body of a rejected request or data of an error event.
  const std::string& error() const { return m_error; }

 private:
  void Send();
  void OnEvent(const SseEvent& event);
  void CheckEvent(const SseEvent& event);
  void OnToken();
  void OnDone(const HttpOutcome& outcome);

  EventLoop* m_loop;
  HttpClient* m_client;
  BenchRequest m_request;
  std::string m_body;
  std::unique_ptr<SseParser> m_parser;
  std::optional<AnswerChecker> m_checker;
  TransferHandle m_transfer;
  TimerHandle m_retry;
  size_t m_target = 0;
  int m_connections = 0;
  int m_status = 0;
  uint64_t m_tokens = 0;
  TimePoint m_start;
  TimePoint m_last_token;
  Duration m_first_token{0};
  std::vector<Duration> m_gaps;
  Duration m_longest_gap{0};
  std::string m_last_id;
  std::string m_error;
  bool m_is_done = false;
  bool m_is_finished = false;
  bool m_is_complete = false;
};

/// @returns the sample at quantile `q` (nearest rank) in ms, or 0 without
/// samples.
double QuantileMs(std::vector<Duration> samples, double q);

/// Prints one figure as a JSON line on standard output. The commit is taken
/// from the environment variable BENCH_COMMIT, which scripts/bench.sh sets.
void PrintFigure(const std::string& name,
                 double value,
                 const std::string& unit,
                 std::optional<double> target,
                 std::optional<double> baseline,
                 uint64_t seed);

/// Makes a failed assertion of the process fixture, which is written for
/// doctest, exit the program with an error although no test case is running.
void ExitOnFixtureFailure();

/// Runs the loop until `condition` has held once for every caller, or until
/// `limit` has passed. The callers are checked one after the other.
void RunUntilAll(EventLoop* loop,
                 const std::vector<std::unique_ptr<BenchCaller>>& callers,
                 const std::function<bool(const BenchCaller&)>& condition,
                 Duration limit);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_BENCH_BENCH_CALLER_H_
