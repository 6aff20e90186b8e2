// Client side of one streamed generation: checks the answer and resumes it
// after a lost connection.
#ifndef BRAMLEYBANK_TOOLS_LOAD_GEN_GENERATION_H_
#define BRAMLEYBANK_TOOLS_LOAD_GEN_GENERATION_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "answer_chain.h"
#include "bramleybank/handle.h"
#include "hooks.h"
#include "http_sse_parser.h"
#include "load_gen_plan.h"
#include "load_gen_retry.h"

namespace bramleybank {

class EventLoop;
class HttpClient;
class LoadStats;
struct HttpOutcome;

/// State shared by all requests of a run. The objects outlive the requests.
struct LoadContext {
  EventLoop* loop = nullptr;
  HttpClient* client = nullptr;
  const LoadSettings* settings = nullptr;
  TargetRing* targets = nullptr;
  LoadStats* stats = nullptr;
  RandomHook random;
  /// Called for each resume after a lost connection with the latency, the
  /// position of the first token after it, and the address. May be empty.
  std::function<void(Duration, uint64_t, const std::string&)> on_resume;
  /// Called for each token's text. May be empty.
  std::function<void(std::string_view)> on_text;
};

/// One streamed generation.
class LoadGeneration {
 public:
  /// @param intended planned send time, from which latencies are measured.
  /// @param on_end called once, after which the object may be destroyed.
  LoadGeneration(const LoadContext* context,
                 PlannedRequest request,
                 TimePoint intended,
                 std::function<void()> on_end);
  ~LoadGeneration();
  LoadGeneration(const LoadGeneration&) = delete;
  LoadGeneration& operator=(const LoadGeneration&) = delete;

  void Start();

 private:
  std::string MakeBody() const;
  void Send();
  void OnHeaders(int status);
  void OnData(std::string_view bytes);
  void OnEvent(const SseEvent& event);
  void OnChunk(const nlohmann::json& chunk);
  void OnText(const std::string& text);
  void ReadTokenCount(const nlohmann::json& chunk);
  bool CheckVersion(const nlohmann::json& chunk);
  void CheckEventId(const std::string& id);
  void OnDone(const HttpOutcome& outcome);
  void OnRefusal(int status, const std::string& body);
  void ScheduleReconnect();
  void CheckStall();
  void Complete();
  void Fail(std::string_view reason);
  void End();

  const LoadContext* m_context;
  PlannedRequest m_request;
  TimePoint m_intended;
  std::function<void()> m_on_end;
  std::string m_body;
  std::string m_target;
  std::string m_last_event_id;
  SseParser m_parser;
  std::string m_error_body;
  TransferHandle m_transfer;
  TimerHandle m_retry_timer;
  TimerHandle m_stall_timer;
  RetryBackoff m_backoff;
  // Created from the first chunk, which names the serving version.
  std::optional<AnswerChecker> m_checker;
  std::string m_version;
  std::optional<uint64_t> m_reported_tokens;
  TimePoint m_last_data;
  TimePoint m_last_token;
  Duration m_longest_gap{0};
  int m_status = 0;
  // "[DONE]" has arrived.
  bool m_done = false;
  // An error event has ended the answer.
  bool m_failed = false;
  // The daemon has asked for a reconnect; the rest of its answer is ignored.
  bool m_handed_over = false;
  // A fault that the checker does not detect, such as a changed version or a
  // wrong event id.
  bool m_faulty = false;
  bool m_ended = false;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_LOAD_GEN_GENERATION_H_
