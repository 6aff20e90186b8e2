// A caller for benchmarks: one streamed generation with the arrival times of
// its tokens, over reconnects, with every token checked if asked for.
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
  /// Base URLs; after a lost connection the next one is asked, in turn.
  std::vector<std::string> targets;
  std::string prompt;
  uint64_t max_tokens = 1;
  /// Parses every token and checks that none is missing, repeated or mixed.
  bool check = false;

  friend bool operator==(const BenchRequest&, const BenchRequest&) = default;
};

/// Plays one caller. `loop` and `client` outlive it.
class BenchCaller {
 public:
  BenchCaller(EventLoop* loop, HttpClient* client, BenchRequest request);
  ~BenchCaller();
  BenchCaller(const BenchCaller&) = delete;
  BenchCaller& operator=(const BenchCaller&) = delete;

  void Start();

  /// From now on `longest_gap` is the longest time between two tokens of which
  /// the second arrives after this call.
  void MarkLoss() { m_longest_gap = Duration(0); }

  uint64_t tokens() const { return m_tokens; }
  /// Time from the first request to the first token.
  Duration first_token() const { return m_first_token; }
  const std::vector<Duration>& gaps() const { return m_gaps; }
  Duration longest_gap() const { return m_longest_gap; }
  /// Id of the last token; names engine and copy holder.
  const std::string& last_id() const { return m_last_id; }
  bool is_over() const { return m_is_over; }
  /// The answer came to its end and, if checked, without a fault.
  bool is_whole() const { return m_is_whole; }
  /// Tokens missing, repeated or mixed; only of checked answers.
  size_t faults() const;
  /// Body of a refusal or data of an error event.
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
  bool m_is_over = false;
  bool m_is_whole = false;
};

/// @returns the sample at quantile `q` (nearest rank), 0 without samples; in
/// ms.
double QuantileMs(std::vector<Duration> samples, double q);

/// Prints one figure as a JSON line on standard output. The commit is taken
/// from the environment variable BENCH_COMMIT, which scripts/bench.sh sets.
void PrintFigure(const std::string& name,
                 double value,
                 const std::string& unit,
                 std::optional<double> target,
                 std::optional<double> baseline,
                 uint64_t seed);

/// Lets failed requirements of the process fixture, which is written for
/// doctest, end the program with an error outside of a test.
void UseFixtureOutsideTests();

/// Runs the loop until `condition` holds for every caller in turn, at most
/// `limit`.
void RunUntilAll(EventLoop* loop,
                 const std::vector<std::unique_ptr<BenchCaller>>& callers,
                 const std::function<bool(const BenchCaller&)>& condition,
                 Duration limit);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_BENCH_BENCH_CALLER_H_
