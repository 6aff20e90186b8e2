// Guards against an engine stand-in that violates the engine interface. Tests
// of the daemon that use it would then pass or fail for the wrong reason.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "answer_chain.h"
#include "process_fixture.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

constexpr char kPrompt[] = "write a report";

/// An engine process and the requests that a client sends to it.
class Engine {
 public:
  explicit Engine(const std::string& settings = "", int host = 1)
      : m_url("http://" + LoopbackIp(host) + ":9000"),
        m_process("standin_engine",
                  "[listen]\nip=" + LoopbackIp(host) +
                      "\n[engine]\ntoken_interval_ms=5\n" + settings) {
    WaitReady(m_url + "/healthz");
  }

  StreamReader Generate(const std::string& generation,
                        int attempt,
                        int max_tokens,
                        const std::vector<std::string>& resume = {}) const {
    const json body{{"prompt", kPrompt},
                    {"max_tokens", max_tokens},
                    {"resume_tokens", resume}};
    return StreamReader(
        m_url + "/v1/completions",
        {{"X-Request-Id", generation}, {"X-Attempt", std::to_string(attempt)}},
        body.dump());
  }
  HttpAnswer Attach(const std::string& generation,
                    int attempt,
                    int after) const {
    return Send(
        "GET",
        m_url + "/v1/streams/" + generation + "?after=" + std::to_string(after),
        {{"X-Attempt", std::to_string(attempt)}});
  }
  int Cancel(const std::string& generation, int attempt) const {
    return Send("DELETE", m_url + "/v1/streams/" + generation,
                {{"X-Attempt", std::to_string(attempt)}})
        .status;
  }
  void Control(const json& control) const {
    REQUIRE(Send("POST", m_url + "/control", {}, control.dump()).status == 200);
  }
  int64_t Stat(const std::string& name) const {
    return json::parse(Send("GET", m_url + "/stats").body).at(name);
  }

  const std::string& url() const { return m_url; }
  ChildProcess& process() { return m_process; }

 private:
  std::string m_url;
  ChildProcess m_process;
};

/// @returns the parsed data of each event; data that is not JSON becomes a
/// string.
std::vector<json> Chunks(const std::vector<SseEvent>& events) {
  std::vector<json> chunks;
  for (const SseEvent& event : events) {
    const json chunk = json::parse(event.data, nullptr, false);
    chunks.push_back(chunk.is_discarded() ? json(event.data) : chunk);
  }
  return chunks;
}

std::vector<json> Chunks(const std::string& body) {
  std::vector<SseEvent> events;
  SseParser parser(1 << 20,
                   [&](const SseEvent& event) { events.push_back(event); });
  parser.Feed(body);
  return Chunks(events);
}

std::vector<std::string> Texts(const std::vector<json>& chunks) {
  std::vector<std::string> texts;
  for (const json& chunk : chunks) {
    if (chunk.is_object() && chunk.contains("text")) {
      texts.push_back(chunk["text"]);
    }
  }
  return texts;
}

std::vector<int> Indexes(const std::vector<json>& chunks) {
  std::vector<int> indexes;
  for (const json& chunk : chunks) {
    if (chunk.is_object() && chunk.contains("index")) {
      indexes.push_back(chunk["index"]);
    }
  }
  return indexes;
}

std::vector<int> Range(int first, int last) {
  std::vector<int> numbers;
  for (int i = first; i <= last; ++i) {
    numbers.push_back(i);
  }
  return numbers;
}

std::vector<AnswerFault> Check(const std::vector<std::string>& texts,
                               uint64_t max_tokens) {
  AnswerChecker checker(InitialChainHash("writer", "v1", "", kPrompt),
                        max_tokens);
  for (const std::string& text : texts) {
    checker.Feed(text);
  }
  checker.Finish({});
  return checker.faults();
}

TEST_CASE("a stream carries every token, a count and an end") {
  const Engine engine;
  const StreamReader reader = engine.Generate("ab", 1, 20);
  reader.WaitForEnd();
  const std::vector<json> chunks = Chunks(reader.Events());
  REQUIRE(chunks.size() == 22);
  CHECK(Check(Texts(chunks), 20).empty());
  CHECK(Indexes(chunks) == Range(1, 20));
  CHECK(chunks[0]["request"] == "ab");
  CHECK(chunks[0]["attempt"] == 1);
  CHECK(chunks[0]["version"] == "v1");
  CHECK(chunks[20]["count"] == 20);
  CHECK(chunks[20]["finish"] == "stop");
  CHECK(reader.Events().back().data == "[DONE]");
  CHECK(engine.Stat("tokens_generated") == 20);
}

TEST_CASE("another engine resumes from the tokens delivered") {
  const Engine first;
  const Engine second("", 2);
  const StreamReader whole = first.Generate("ab", 1, 8);
  whole.WaitForEnd();
  std::vector<std::string> texts = Texts(Chunks(whole.Events()));
  const StreamReader rest = second.Generate("ab", 2, 20, texts);
  rest.WaitForEnd();
  const std::vector<json> chunks = Chunks(rest.Events());
  CHECK(Indexes(chunks) == Range(9, 20));
  const std::vector<std::string> more = Texts(chunks);
  REQUIRE(more.size() == 12);
  CHECK(ParseToken(more[0])->nonce != ParseToken(texts[0])->nonce);
  texts.insert(texts.end(), more.begin(), more.end());
  CHECK(Check(texts, 20).empty());
  CHECK(second.Stat("streams_resumed") == 1);
  // With one token missing, the rest no longer form a chain.
  texts.erase(texts.begin() + 2);
  const StreamReader wrong = second.Generate("cd", 1, 30, texts);
  wrong.WaitForEnd();
  CHECK(wrong.status() == 400);
}

TEST_CASE("a higher attempt takes over a stream from its reader") {
  const Engine engine;
  const StreamReader first = engine.Generate("ab", 1, 60);
  first.WaitForEvents(5);
  const std::vector<json> rest = Chunks(engine.Attach("ab", 3, 2).body);
  first.WaitForEnd();
  const std::vector<json> start = Chunks(first.Events());
  CHECK(Indexes(rest) == Range(3, 60));
  CHECK(rest[0]["attempt"] == 3);
  CHECK(rest[58]["count"] == 60);
  // The first reader was disconnected before the end.
  CHECK(Indexes(start).size() < 60);
  std::vector<std::string> texts = Texts(start);
  texts.resize(2);
  for (const std::string& text : Texts(rest)) {
    texts.push_back(text);
  }
  CHECK(Check(texts, 60).empty());
}

TEST_CASE("old attempts and unknown streams are refused") {
  const Engine engine;
  const StreamReader reader = engine.Generate("ab", 2, 5);
  reader.WaitForEnd();
  CHECK(engine.Attach("ab", 2, 0).status == 409);
  CHECK(engine.Attach("ab", 1, 0).status == 409);
  CHECK(engine.Attach("cd", 9, 0).status == 404);
  CHECK(engine.Attach("ab", 3, 6).status == 400);
  CHECK(engine.Cancel("ab", 1) == 409);
  CHECK(engine.Cancel("cd", 1) == 404);
  const StreamReader again = engine.Generate("ab", 2, 5);
  again.WaitForEnd();
  CHECK(again.status() == 409);
}

TEST_CASE("a cancelled stream ends and refuses its old attempt") {
  const Engine engine;
  const StreamReader reader = engine.Generate("ab", 1, 100000);
  reader.WaitForEvents(3);
  CHECK(engine.Cancel("ab", 1) == 200);
  reader.WaitForEnd();
  CHECK(engine.Stat("running") == 0);
  CHECK(engine.Stat("streams_cancelled") == 1);
  CHECK(engine.Attach("ab", 2, 0).status == 404);
  const StreamReader late = engine.Generate("ab", 1, 5);
  late.WaitForEnd();
  CHECK(late.status() == 409);
}

TEST_CASE(
    "a stream without a reader keeps on generating and ends after hold time") {
  const Engine engine("hold_time_ms=300\n");
  {
    const StreamReader reader = engine.Generate("ab", 1, 100000);
    reader.WaitForEvents(3);
  }
  WaitUntil("the stream's end",
            [&] { return engine.Stat("streams_expired") == 1; });
  CHECK(engine.Stat("running") == 0);
  CHECK(engine.Attach("ab", 2, 0).status == 404);
}

TEST_CASE("requests above the slots wait") {
  const Engine engine("slots=1\n");
  const StreamReader first = engine.Generate("ab", 1, 100000);
  first.WaitForEvents(1);
  const StreamReader second = engine.Generate("cd", 1, 3);
  WaitUntil("a waiting request", [&] { return engine.Stat("waiting") == 1; });
  engine.Cancel("ab", 1);
  second.WaitForEnd();
  CHECK(Check(Texts(Chunks(second.Events())), 3).empty());
}

TEST_CASE("an engine exits after the token of its fault") {
  Engine engine;
  engine.Control({{"stream_fault", "exit"}, {"token", 4}});
  const StreamReader reader = engine.Generate("ab", 1, 20);
  reader.WaitForEnd();
  CHECK(engine.process().WaitExit() == 70);
  CHECK(Indexes(Chunks(reader.Events())) == Range(1, 4));
}

TEST_CASE(
    "a connection closed by a fault allows the stream to be attached again") {
  const Engine engine;
  engine.Control({{"stream_fault", "close"}, {"token", 4}});
  const StreamReader reader = engine.Generate("ab", 1, 20);
  reader.WaitForEnd();
  CHECK(Indexes(Chunks(reader.Events())) == Range(1, 4));
  CHECK(Indexes(Chunks(engine.Attach("ab", 2, 4).body)) == Range(5, 20));
}

TEST_CASE("a frozen stream sends nothing and has no effect on others") {
  const Engine engine;
  engine.Control({{"stream_fault", "freeze"}, {"token", 4}, {"ms", 3600000}});
  const StreamReader frozen = engine.Generate("ab", 1, 20);
  frozen.WaitForEvents(4);
  const StreamReader other = engine.Generate("cd", 1, 20);
  other.WaitForEnd();
  CHECK(Indexes(Chunks(other.Events())) == Range(1, 20));
  CHECK(Indexes(Chunks(frozen.Events())) == Range(1, 4));
}

TEST_CASE("chunks are duplicated, skipped, truncated and misrouted") {
  const Engine engine;
  const auto run = [&](const char* fault) {
    static int generation = 100;
    engine.Control({{"stream_fault", fault}, {"token", 2}});
    const StreamReader reader =
        engine.Generate(std::to_string(++generation), 1, 4);
    reader.WaitForEnd();
    return Chunks(reader.Events());
  };
  CHECK(Indexes(run("duplicate")) == std::vector<int>{1, 2, 2, 3, 4});
  CHECK(Indexes(run("skip")) == std::vector<int>{1, 3, 4});
  const auto truncated = run("truncate");
  CHECK(Indexes(truncated) == std::vector<int>{1, 3, 4});
  CHECK(truncated[1].is_string());
  const auto foreign = run("foreign");
  CHECK(Indexes(foreign) == std::vector<int>{1, 2, 2, 3, 4});
  CHECK(foreign[1]["request"] != foreign[2]["request"]);
}

TEST_CASE("a replaced attempt continues to send when the option is on") {
  const Engine engine;
  engine.Control({{"keep_old_readers", true}});
  const StreamReader first = engine.Generate("ab", 1, 40);
  first.WaitForEvents(2);
  const std::vector<json> second = Chunks(engine.Attach("ab", 2, 0).body);
  first.WaitForEnd();
  CHECK(Indexes(second) == Range(1, 40));
  CHECK(Indexes(Chunks(first.Events())) == Range(1, 40));
  CHECK(Chunks(first.Events())[39]["attempt"] == 1);
}

TEST_CASE("a failing version answers 500, a wrong one breaks the chain") {
  const Engine engine;
  engine.Control({{"version_fault", "fail"}, {"route", "report"}});
  const StreamReader failed = engine.Generate("ab", 1, 5);
  failed.WaitForEnd();
  CHECK(failed.status() == 500);
  engine.Control(
      {{"clear", true}, {"version_fault", "wrong_tokens"}, {"token", 3}});
  const StreamReader wrong = engine.Generate("cd", 1, 5);
  wrong.WaitForEnd();
  const auto faults = Check(Texts(Chunks(wrong.Events())), 5);
  REQUIRE_FALSE(faults.empty());
  CHECK(faults[0] == AnswerFault{AnswerFaultKind::kMixed, 4});
}

TEST_CASE("commands with an old fencing number are refused if checked") {
  const Engine strict;
  const Engine lax("checks_fencing=false\n", 2);
  const auto command = [](const Engine& engine, const char* number) {
    return Send("POST", engine.url() + "/commands",
                {{"X-Fencing-Number", number}},
                R"({"command":"load_version","name":"v2"})")
        .status;
  };
  CHECK(command(strict, "5") == 200);
  CHECK(command(strict, "4") == 409);
  CHECK(command(lax, "5") == 200);
  CHECK(command(lax, "4") == 200);
  const json load = json::parse(Send("GET", strict.url() + "/load").body);
  CHECK(load["versions"] == json{"v2"});
}

TEST_CASE("a cached prompt shortens the prefill and is published") {
  const Engine engine("cache_event_lag_ms=0\n");
  const std::string body =
      json{{"prompt", std::string(640, 'a')}, {"max_tokens", 1}}.dump();
  Send("POST", engine.url() + "/v1/completions", {}, body);
  CHECK(engine.Stat("prefill_tokens") == 160);
  Send("POST", engine.url() + "/v1/completions", {}, body);
  CHECK(engine.Stat("prefill_tokens") == 160);
  const json events =
      json::parse(Send("GET", engine.url() + "/cache_events?after=3").body);
  CHECK(events["events"].size() == 7);
  CHECK(events["last"] == 10);
}

}  // namespace
}  // namespace bramleybank::testing
