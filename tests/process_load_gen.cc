// Guards against a load tool that accepts broken answers, resumes at the wrong
// position or loses requests. Scripted servers in this process stand in for the
// daemons.
#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "answer_chain.h"
#include "event_loop.h"
#include "http_request.h"
#include "http_responder.h"
#include "http_server.h"
#include "process_fixture.h"
#include "stream_cursor.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;
using Responder = std::shared_ptr<HttpResponder>;
using Handler = std::function<void(const HttpRequest&, const Responder&)>;

constexpr uint64_t kTokens = 10;

/// A server with a loop and a thread of its own.
class ScriptedDaemon {
 public:
  ScriptedDaemon(int host, Handler handler)
      : m_address(LoopbackIp(host) + ":9100"),
        m_thread([this, host, handler = std::move(handler)] {
          Run(LoopbackIp(host), handler);
        }) {
    WaitUntil("the scripted daemon", [this] { return m_ready.load(); });
  }
  ~ScriptedDaemon() {
    m_stop = true;
    m_thread.join();
  }
  ScriptedDaemon(const ScriptedDaemon&) = delete;
  ScriptedDaemon& operator=(const ScriptedDaemon&) = delete;

  const std::string& address() const { return m_address; }
  std::vector<HttpRequest> Requests() const {
    const std::lock_guard lock(m_mutex);
    return m_requests;
  }

 private:
  void Run(const std::string& ip, const Handler& handler) {
    EventLoop loop;
    HttpServer server(&loop, HttpServerOptions());
    const auto port = server.Start(
        ip, 9100, [&](const HttpRequest& request, const Responder& responder) {
          {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
          }
          handler(request, responder);
        });
    m_ready = port.has_value();
    while (!m_stop) {
      loop.RunOnce(std::chrono::milliseconds(5));
    }
  }

  std::string m_address;
  mutable std::mutex m_mutex;
  std::vector<HttpRequest> m_requests;
  std::atomic<bool> m_ready = false;
  std::atomic<bool> m_stop = false;
  std::thread m_thread;
};

std::vector<std::string> MakeTokenTexts(const HttpRequest& request,
                                        uint16_t nonce = 7) {
  const json body = json::parse(request.body);
  uint32_t chain = InitialChainHash(body["model"].get<std::string>(), "v1", "a",
                                    *ExtractPrompt(body));
  std::vector<std::string> texts;
  for (uint64_t i = 1; i <= kTokens; ++i) {
    texts.push_back(FormatToken(nonce, chain));
    chain = NextChainHash(chain, texts.back(), i);
  }
  return texts;
}

std::string Event(const HttpRequest& request,
                  const std::string& text,
                  uint64_t position) {
  const bool chat = request.path.find("chat") != std::string::npos;
  json choice{{"index", 0}, {"finish_reason", nullptr}};
  if (chat) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  const json chunk{
      {"id", "x"}, {"system_fingerprint", "v1/a"}, {"choices", {choice}}};
  const StreamCursor cursor{.generation = 1,
                            .owner = "127.0.0.1:1",
                            .copy_holder = "",
                            .engine = "127.0.0.1:2",
                            .attempt = 1,
                            .position = position};
  return FormatSseEvent(FormatStreamCursor(cursor), "", chunk.dump());
}

/// Sends the tokens from position `first` to `last`.
void WriteTokens(const HttpRequest& request,
                 const Responder& responder,
                 const std::vector<std::string>& texts,
                 uint64_t first,
                 uint64_t last) {
  responder->StartStream(200, {{"Content-Type", "text/event-stream"}});
  for (uint64_t i = first; i <= last; ++i) {
    responder->Write(Event(request, texts[i - 1], i));
  }
}

void WriteEnd(const Responder& responder) {
  const json last{{"system_fingerprint", "v1/a"},
                  {"choices", {{{"text", ""}, {"finish_reason", "stop"}}}},
                  {"usage", {{"completion_tokens", kTokens}}}};
  responder->Write(FormatSseEvent("", "", last.dump()) + "data: [DONE]\n\n");
  responder->Finish();
}

/// Sends the complete answer, or the part after the position in Last-Event-ID.
void AnswerCompletely(const HttpRequest& request, const Responder& responder) {
  uint64_t after = 0;
  if (const auto id = request.Header("Last-Event-ID")) {
    after = ParseStreamCursor(*id)->position;
  }
  WriteTokens(request, responder, MakeTokenTexts(request), after + 1, kTokens);
  WriteEnd(responder);
}

void Refuse(const Responder& responder, int status, int code) {
  responder->Respond(status, {}, json{{"error", {{"code", code}}}}.dump());
}

/// Result of one run of load_gen.
struct RunResult {
  int exit_code = 0;
  std::map<std::string, double> metrics;

  double operator[](const std::string& name) const {
    const auto it = metrics.find(name);
    return it == metrics.end() ? 0 : it->second;
  }
};

RunResult Run(const std::string& targets, const std::string& settings = "") {
  ChildProcess process("load_gen", "[targets]\naddresses=" + targets +
                                       "\n[load]\nrate=1000\nlong_share=0\n"
                                       "short_tokens=10\nrequests=1\n" +
                                       settings);
  RunResult result;
  result.exit_code = process.WaitExit();
  std::istringstream log(process.Log());
  for (std::string line; std::getline(log, line);) {
    const json figure = json::parse(line, nullptr, false);
    if (figure.is_object()) {
      result.metrics[figure["name"]] = figure["value"];
    }
  }
  return result;
}

TEST_CASE("complete answers of both kinds are accepted") {
  const ScriptedDaemon daemon(1, AnswerCompletely);
  for (const char* share : {"chat_share=0\n", "chat_share=1\n"}) {
    const RunResult result = Run(daemon.address(), share);
    CHECK(result.exit_code == 0);
    CHECK(result["answers_whole"] == 1);
    CHECK(result["tokens"] == kTokens);
    CHECK(result["first_token_count"] == 1);
  }
}

TEST_CASE(
    "a lost connection is resumed at another daemon after its last event") {
  const ScriptedDaemon first(1, [](const auto& request, const auto& responder) {
    WriteTokens(request, responder, MakeTokenTexts(request), 1, 4);
    responder->SetDrainHandler([responder] { responder->Abort(); });
  });
  const ScriptedDaemon second(2, AnswerCompletely);
  const RunResult result = Run(first.address() + "," + second.address());
  CHECK(result.exit_code == 0);
  CHECK(result["answers_whole"] == 1);
  CHECK(result["reconnects"] == 1);
  CHECK(result["resume_latency_count"] == 1);
  REQUIRE(second.Requests().size() == 1);
  const HttpRequest before = first.Requests()[0];
  const HttpRequest after = second.Requests()[0];
  CHECK(before.body == after.body);
  CHECK(before.Header("Idempotency-Key") == after.Header("Idempotency-Key"));
  CHECK_FALSE(before.Header("Last-Event-ID"));
  CHECK(ParseStreamCursor(*after.Header("Last-Event-ID"))->position == 4);
}

TEST_CASE("a handover reconnects, and temporary refusals are retried") {
  std::atomic<int> refusals = 2;
  const ScriptedDaemon first(1, [](const auto& request, const auto& responder) {
    WriteTokens(request, responder, MakeTokenTexts(request), 1, 4);
    responder->Write(FormatSseEvent("", "handover", "{}"));
  });
  const ScriptedDaemon second(2,
                              [&](const auto& request, const auto& responder) {
                                if (refusals-- > 0) {
                                  Refuse(responder, 503, 2003);
                                } else {
                                  AnswerCompletely(request, responder);
                                }
                              });
  // The second address is listed twice, so that later attempts do not return to
  // the first daemon.
  const RunResult result =
      Run(first.address() + "," + second.address() + "," + second.address());
  CHECK(result.exit_code == 0);
  CHECK(result["answers_whole"] == 1);
  CHECK(result["handovers"] == 1);
  CHECK(result["caller_stall_timeouts"] == 0);
  CHECK(result["refusal_2003"] == 2);
  CHECK(first.Requests().size() == 1);
  CHECK(second.Requests().size() == 3);
}

TEST_CASE("a stream with each kind of fault fails the run") {
  std::atomic<int> kind = 0;
  const ScriptedDaemon daemon(
      1, [&](const HttpRequest& request, const Responder& responder) {
        std::vector<std::string> texts = MakeTokenTexts(request);
        if (kind == 0) {
          std::swap(texts[3], texts[4]);
        } else if (kind == 1) {
          texts[5] = MakeTokenTexts(request, 9)[5];
        } else if (kind == 2) {
          texts[5] = texts[4];
        }
        WriteTokens(request, responder, texts, 1, kind == 3 ? 9 : kTokens);
        WriteEnd(responder);
      });
  const std::vector<std::string> faults = {"fault_reordered", "fault_mixed",
                                           "fault_repeated", "fault_short"};
  for (const std::string& fault : faults) {
    CAPTURE(fault);
    const RunResult result = Run(daemon.address());
    CHECK(result.exit_code == 1);
    CHECK(result["answers_faulty"] == 1);
    CHECK(result[fault] >= 1);
    ++kind;
  }
}

TEST_CASE("an event id with a wrong position fails the run") {
  const ScriptedDaemon daemon(
      1, [](const HttpRequest& request, const Responder& responder) {
        responder->StartStream(200, {});
        const auto texts = MakeTokenTexts(request);
        for (uint64_t i = 1; i <= kTokens; ++i) {
          responder->Write(Event(request, texts[i - 1], i == 5 ? 6 : i));
        }
        WriteEnd(responder);
      });
  const RunResult result = Run(daemon.address());
  CHECK(result.exit_code == 1);
  CHECK(result["fault_event_position"] == 1);
}

TEST_CASE("refusals and error events are counted by code") {
  std::atomic<bool> refuse = true;
  const ScriptedDaemon daemon(
      1, [&](const HttpRequest& request, const Responder& responder) {
        if (refuse) {
          Refuse(responder, 503, 2003);
          return;
        }
        WriteTokens(request, responder, MakeTokenTexts(request), 1, 4);
        responder->Write(FormatSseEvent(
            "", "error", json{{"error", {{"code", 3003}}}}.dump()));
        responder->Finish();
      });
  RunResult result = Run(daemon.address());
  CHECK(result.exit_code == 0);
  CHECK(result["refusal_2003"] == 1);
  CHECK(result["incomplete_refused"] == 1);
  refuse = false;
  result = Run(daemon.address());
  CHECK(result["stream_error_3003"] == 1);
  CHECK(result["answers_incomplete"] == 1);
  CHECK(daemon.Requests().size() == 2);
}

TEST_CASE("requests skip addresses that are dead or not ready") {
  const ScriptedDaemon draining(1, [](const auto&, const auto& responder) {
    Refuse(responder, 503, 2001);
  });
  const ScriptedDaemon good(2, AnswerCompletely);
  const RunResult result =
      Run(LoopbackIp(9) + ":9100," + draining.address() + "," + good.address());
  CHECK(result["answers_whole"] == 1);
  CHECK(result["reconnects"] == 2);
  const RunResult all_dead_result =
      Run(LoopbackIp(9) + ":9100", "reconnect_limit_s=0.2\n");
  CHECK(all_dead_result["incomplete_reconnect_limit"] == 1);
}

TEST_CASE("a silent connection is treated as lost") {
  const ScriptedDaemon silent(
      1, [](const auto& request, const auto& responder) {
        WriteTokens(request, responder, MakeTokenTexts(request), 1, 2);
      });
  const ScriptedDaemon good(2, AnswerCompletely);
  const RunResult result =
      Run(silent.address() + "," + good.address(), "stall_timeout_s=0.5\n");
  CHECK(result["caller_stall_timeouts"] == 1);
  CHECK(result["answers_whole"] == 1);
}

TEST_CASE("a booking keeps its key, and another key in the answer is a fault") {
  std::atomic<bool> answers_wrong_key = false;
  const Handler abort_connection = [](const auto&, const auto& responder) {
    responder->Abort();
  };
  const ScriptedDaemon first(1, abort_connection);
  const ScriptedDaemon second(
      2, [&](const HttpRequest& request, const Responder& responder) {
        json answer = json::parse(request.body);
        if (answers_wrong_key) {
          answer["key"] = "other";
        }
        responder->Respond(200, {}, answer.dump());
      });
  const std::string settings = "service_share=1\nlookup_share=0\n";
  const std::string targets = first.address() + "," + second.address();
  const RunResult correct_result = Run(targets, settings);
  CHECK(correct_result.exit_code == 0);
  CHECK(correct_result["booking_answered"] == 1);
  CHECK(first.Requests()[0].Header("Idempotency-Key") ==
        second.Requests()[0].Header("Idempotency-Key"));
  answers_wrong_key = true;
  const RunResult wrong_key_result = Run(targets, settings);
  CHECK(wrong_key_result.exit_code == 1);
  CHECK(wrong_key_result["fault_other_key"] == 1);
}

}  // namespace
}  // namespace bramleybank::testing
