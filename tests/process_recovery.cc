// Guards against streams that end early or lose tokens when a daemon crashes
// (alone or together with the engine), is paused or stops, and when an engine
// crashes or freezes.
#include <doctest/doctest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "process_deployment.h"

namespace bramleybank::testing {
namespace {

void CheckComplete(const CallerResult& result, int tokens) {
  CAPTURE(result.error);
  CAPTURE(result.status);
  CAPTURE(result.connections);
  CHECK(result.done);
  CHECK(result.faults == "");
  CHECK(result.texts.size() == static_cast<size_t>(tokens));
}

TEST_CASE("a stream survives the loss of its daemon") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  CallerOptions options;
  options.on_token = [&](const CallerResult& result) {
    if (result.texts.size() == 10) {
      deployment.daemon(0).Kill();
    }
  };
  const CallerResult result = RunCaller(deployment, options);
  CheckComplete(result, 40);
  CHECK(result.connections > 1);
  // The engine's stream continued; no new attempt was needed.
  CHECK(deployment.engine_of(result.event_ids.back()) ==
        deployment.engine_of(result.event_ids[9]));
}

TEST_CASE("a stream is resumed from its copy when daemon and engine are lost") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  int killed_engine = -1;
  CallerOptions options;
  options.on_token = [&](const CallerResult& result) {
    if (result.texts.size() == 10) {
      killed_engine = deployment.engine_of(result.event_ids.back());
      REQUIRE(deployment.copy_holder_of(result.event_ids.back()) > 0);
      deployment.engine(killed_engine).Kill();
      deployment.daemon(0).Kill();
    }
  };
  const CallerResult result = RunCaller(deployment, options);
  CheckComplete(result, 40);
  CHECK(deployment.engine_of(result.event_ids.back()) != killed_engine);
}

TEST_CASE("a stream survives the loss of daemon, engine and next daemon") {
  Deployment deployment({.domains = 3, .daemons_per_domain = 2});
  deployment.WaitForAllMembers();
  CallerOptions options;
  options.max_tokens = 80;
  options.on_token = [&](const CallerResult& result) {
    const size_t count = result.texts.size();
    if (count == 10) {
      deployment.engine(deployment.engine_of(result.event_ids.back())).Kill();
      deployment.daemon(0).Kill();
    } else if (count == 50) {
      deployment.daemon(1).Kill();
    }
  };
  CheckComplete(RunCaller(deployment, options), 80);
}

TEST_CASE(
    "a stream survives the loss of its copy holder, then of daemon and "
    "engine") {
  Deployment deployment({.domains = 3, .daemons_per_domain = 2});
  deployment.WaitForAllMembers();
  int first_holder = -1;
  CallerOptions options;
  options.max_tokens = 200;
  options.on_token = [&](const CallerResult& result) {
    const size_t count = result.texts.size();
    const int holder = deployment.copy_holder_of(result.event_ids.back());
    if (count == 10) {
      first_holder = holder;
      deployment.daemon(holder).Kill();
    } else if (count == 150) {
      REQUIRE(holder >= 0);
      CHECK(holder != first_holder);
      deployment.engine(deployment.engine_of(result.event_ids.back())).Kill();
      deployment.daemon(0).Kill();
    }
  };
  CheckComplete(RunCaller(deployment, options), 200);
}

TEST_CASE(
    "a daemon that resumes from a pause does not affect its former stream") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  CallerOptions options;
  options.max_tokens = 300;
  options.disconnect_after = 20;
  // The daemon is paused during the stream, and the caller gives up on it.
  options.on_token = [&](const CallerResult& result) {
    if (result.texts.size() == 20) {
      deployment.daemon(0).Pause();
    }
  };
  CallerResult first = RunCaller(deployment, options);
  CHECK(first.faults == "");
  const std::string last_id = first.event_ids[19];
  const nlohmann::json body = {{"model", "writer"},
                               {"stream", true},
                               {"max_tokens", 300},
                               {"prompt", options.prompt}};
  StreamReader reader(deployment.caller_url(1) + "/v1/completions",
                      {{"Last-Event-ID", last_id}}, body.dump());
  reader.WaitForEvents(50);
  deployment.daemon(0).Continue();
  reader.WaitForEnd();
  const auto events = reader.Events();
  // 280 tokens, the finish event and [DONE].
  CHECK(events.size() == 282);
  CHECK(events.back().data == "[DONE]");
}

TEST_CASE("a frozen engine is replaced and its late output is dropped") {
  Deployment deployment({});
  int frozen = -1;
  CallerOptions options;
  options.max_tokens = 60;
  options.on_token = [&](const CallerResult& result) {
    const size_t count = result.texts.size();
    if (count == 20) {
      frozen = deployment.engine_of(result.event_ids.back());
      deployment.engine(frozen).Pause();
    } else if (count == 30) {
      deployment.engine(frozen).Continue();
    }
  };
  const CallerResult result = RunCaller(deployment, options);
  CheckComplete(result, 60);
  CHECK(result.connections == 1);
  CHECK(deployment.engine_of(result.event_ids.back()) != frozen);
}

TEST_CASE("a stream survives the repeated loss of its engine") {
  Deployment deployment({.domains = 3, .engines_per_domain = 2});
  int kills = 0;
  CallerOptions options;
  options.max_tokens = 100;
  options.on_token = [&](const CallerResult& result) {
    if (result.texts.size() % 20 == 0 && kills < 4) {
      ++kills;
      deployment.engine(deployment.engine_of(result.event_ids.back())).Kill();
    }
  };
  CheckComplete(RunCaller(deployment, options), 100);
  CHECK(kills == 4);
}

TEST_CASE("many recently started streams survive the loss of their engine") {
  // More streams than the fixed part of the resume reserve, all started within
  // its window.
  constexpr int kStreams = 80;
  Deployment deployment({.domains = 1,
                         .engines_per_domain = 2,
                         .engine_settings = "token_interval_ms = 20\n"
                                            "slots = 200\n"});
  const std::string body =
      R"({"model":"writer","prompt":"p","max_tokens":100,"stream":true})";
  std::vector<std::unique_ptr<StreamReader>> readers;
  for (int i = 0; i < kStreams; ++i) {
    readers.push_back(std::make_unique<StreamReader>(
        deployment.caller_url(0) + "/v1/completions", HttpHeaders{}, body));
  }
  for (const auto& reader : readers) {
    reader->WaitForEvents(3);
  }
  deployment.engine(0).Kill();
  for (const auto& reader : readers) {
    reader->WaitForEnd();
    const auto events = reader->Events();
    CAPTURE(reader->Body().substr(0, 300));
    REQUIRE_FALSE(events.empty());
    CHECK(events.back().data == "[DONE]");
    // 100 tokens, the finish event and [DONE].
    CHECK(events.size() == 102);
  }
}

TEST_CASE("the caller gets the last position when no engine is left") {
  Deployment deployment({.domains = 1, .engines_per_domain = 1});
  CallerOptions options;
  options.on_token = [&](const CallerResult& result) {
    if (result.texts.size() == 10) {
      deployment.engine(0).Kill();
    }
  };
  const CallerResult result = RunCaller(deployment, options);
  CHECK_FALSE(result.done);
  CHECK(result.faults == "");
  const auto error = nlohmann::json::parse(result.error);
  CHECK(error["error"]["position"] == result.texts.size());
  CHECK(error["error"]["outcome"] == "unknown");
}

TEST_CASE("a stream is cancelled when its caller disconnects") {
  Deployment deployment({.domains = 1});
  CallerOptions options;
  options.max_tokens = 100000;
  options.disconnect_after = 5;
  RunCaller(deployment, options);
  WaitUntil("the engine to cancel the stream", [&] {
    const auto stats = nlohmann::json::parse(
        Send("GET", deployment.engine_url(0) + "/stats").body);
    return stats.at("streams_cancelled").get<int>() == 1;
  });
}

TEST_CASE("a planned stop does not interrupt a request") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  CallerOptions options;
  options.max_tokens = 400;
  options.on_token = [&](const CallerResult& result) {
    if (result.texts.size() == 10) {
      deployment.daemon(0).Terminate();
      WaitUntil("readiness to fail", [&] {
        return Send("GET", deployment.operator_url(0) + "/readyz").status !=
               200;
      });
      const HttpAnswer refused =
          Send("POST", deployment.caller_url(0) + "/v1/completions", {},
               R"({"model":"writer","prompt":"p"})");
      CHECK(refused.status == 503);
      CHECK(refused.body.find("\"not_run\"") != std::string::npos);
      CHECK(refused.body.find("\"draining\"") != std::string::npos);
    }
  };
  const CallerResult result = RunCaller(deployment, options);
  CheckComplete(result, 400);
  CHECK(result.connections == 1);
  CHECK(deployment.daemon(0).WaitExit() == 0);
}

TEST_CASE("a stream that outlasts the drain is handed over") {
  Deployment deployment({.engine_settings = "token_interval_ms = 10\n",
                         .daemon_settings = "[drain]\ntime_s = 35\n"});
  deployment.WaitForAllMembers();
  CallerOptions options;
  options.max_tokens = 4000;
  options.on_token = [&](const CallerResult& result) {
    if (result.texts.size() == 10) {
      deployment.daemon(0).Terminate();
    }
  };
  const CallerResult result = RunCaller(deployment, options);
  CheckComplete(result, 4000);
  CHECK(result.connections > 1);
  CHECK(deployment.daemon(0).WaitExit() == 0);
}

TEST_CASE("an unstreamed answer that outlasts the drain is refused") {
  Deployment deployment({.domains = 1,
                         .engine_settings = "token_interval_ms = 1000\n",
                         .daemon_settings = "[drain]\ntime_s = 35\n"});
  HttpAnswer answer;
  std::thread caller([&] {
    answer = Send("POST", deployment.caller_url(0) + "/v1/completions", {},
                  R"({"model":"writer","prompt":"p","max_tokens":600})");
  });
  WaitUntil("the stream to be open", [&] {
    return deployment.Metric(0, "bramleybank_open_streams") == 1;
  });
  deployment.daemon(0).Terminate();
  caller.join();
  CHECK(answer.status == 503);
  CHECK(answer.body.find("\"draining\"") != std::string::npos);
  CHECK(answer.body.find("\"unknown\"") != std::string::npos);
  CHECK(deployment.daemon(0).WaitExit() == 0);
}

TEST_CASE("an engine that reports leaving gets no new work from any daemon") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  Deployment::Control(deployment.engine_url(0), R"({"leaving":true})");
  for (int i = 0; i < deployment.daemon_count(); ++i) {
    WaitUntil("the notice to reach every daemon", [&] {
      return Send("GET", deployment.operator_url(i) + "/status")
                 .body.find("endpoint_leaving") != std::string::npos;
    });
  }
  for (int i = 0; i < 30; ++i) {
    const CallerResult result =
        RunCaller(deployment, {.max_tokens = 3, .first_daemon = i % 3});
    CheckComplete(result, 3);
    CHECK(deployment.engine_of(result.event_ids.back()) != 0);
  }
}

TEST_CASE("an engine configured as leaving gets no new work") {
  Deployment deployment({});
  deployment.WaitForAllMembers();
  const HttpAnswer answer =
      deployment.ChangeConfig(1, deployment.LeavingChange(0));
  CAPTURE(answer.body);
  REQUIRE(answer.status == 200);
  WaitUntil("the change to be in force", [&] {
    const HttpAnswer state = Send(
        "GET", deployment.operator_url(0) + "/config/confirmations?number=2");
    return state.body.find("\"in_force\":true") != std::string::npos;
  });
  for (int i = 0; i < 30; ++i) {
    const CallerResult result =
        RunCaller(deployment, {.max_tokens = 3, .first_daemon = i % 3});
    CheckComplete(result, 3);
    CHECK(deployment.engine_of(result.event_ids.back()) != 0);
  }
}

}  // namespace
}  // namespace bramleybank::testing
