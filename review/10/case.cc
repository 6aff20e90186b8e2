// A version was rolled back, and the operator orders the corrected one before
// the servers of the bad one have drained. EXPOSURE: the bad version gets more
// than expose_share of the requests that reach its service between its order
// and its deadline, and expose_slack.
#include "lab.h"

using namespace lab;

namespace {

constexpr int kGateways = 9;
constexpr int kClients = 72;
constexpr int64_t kClientIntervalMs = 166;
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50;
constexpr int64_t kWorkMs = 20;
constexpr int64_t kSlowWorkMs = 80;
constexpr int kDurationS = 8;
// "At rolled_back, the new servers drain some seconds later."
constexpr int64_t kDrainAfterMs = 5000;
constexpr int64_t kDrainMs = 2500;

std::string Order(const char* version) {
  return json{{"service", "desk"}, {"to", version}, {"duration_s", kDurationS}}
      .dump();
}

}  // namespace

int main(int, char** argv) {
  Begin(argv[1]);
  Store store;
  store.Start();
  Runs runs;
  store.Put("op", "config",
            ConfigJson(7, {{.name = "read",
                            .service = "desk",
                            .kind = "safe",
                            .max_attempts = 2}})
                .dump());
  store.on_write = [](const std::string& table, const std::string& key,
                      const std::string& value) {
    if (table == "status") {
      Record::Get().Line("status/%s %s", key.c_str(), value.c_str());
    }
  };
  std::vector<std::unique_ptr<Server>> servers;
  const auto add = [&](const std::string& version, int64_t work_ms) {
    for (int i = 0; i < 3; ++i) {
      servers.push_back(std::make_unique<Server>(
          &store, &runs,
          ServerOptions{.id = "i-" + version + std::to_string(i),
                        .service = "desk",
                        .version = version,
                        .slots = 30,
                        .work_ms = work_ms}));
    }
  };
  add("v1", kWorkMs);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        "front-" + std::to_string(i + 1), store.port()));
    gateways.back()->Start();
  }
  for (const auto& gateway : gateways) {
    gateway->WaitReady();
  }
  std::atomic<bool> stop{false};
  std::atomic<int> count{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      std::unique_ptr<Socket> socket;
      int64_t next = NowMs() + c * kClientIntervalMs / kClients;
      while (!stop) {
        SleepUntil(next);
        next += kClientIntervalMs;
        if (!socket) {
          socket = Socket::Connect(gateways[c % kGateways]->front());
        }
        if (!socket) {
          continue;
        }
        const std::string id = "r" + std::to_string(++count);
        socket->Send(RequestText("GET", "/read/1", id));
        const Message answer = socket->Read(4500);
        Record::Get().Detail("answer %s %d", id.c_str(), answer.Status());
        if (!answer.complete || socket->ended()) {
          socket.reset();
        }
      }
    });
  }
  SleepMs(6000);
  add("v2", kSlowWorkMs);
  SleepMs(500);
  const int64_t ordered = NowMs();
  const int64_t deadline = ordered + kDurationS * 1000;
  store.Put("op", "rollout/desk", Order("v2"));
  Record::Get().Line("order of v2, whose answers take four times as long");
  while (store.Get("status", "rollout/desk").find("rolled_back") ==
         std::string::npos) {
    if (NowMs() > deadline) {
      CannotRun("v2 was not rolled back, so there is nothing to show");
    }
    SleepMs(10);
  }
  const int64_t rolled_back = NowMs();
  if (HasTrouble()) {
    SleepMs(500);
    add("v3", kWorkMs);
    SleepMs(200);
    store.Put("op", "rollout/desk", Order("v3"));
    Record::Get().Line("order of v3, which is good");
  }
  SleepUntil(rolled_back + kDrainAfterMs);
  Record::Get().Line("the servers of v2 drain");
  for (const auto& server : servers) {
    if (server->options().version == "v2") {
      server->Register("draining");
    }
  }
  SleepMs(kDrainMs + 500);
  for (const auto& server : servers) {
    if (server->options().version == "v2") {
      server->Leave();
    }
  }
  SleepUntil(deadline + 500);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }

  int all = 0;
  int bad = 0;
  int after = 0;
  for (const Run& run : runs.All()) {
    if (run.at_ms < ordered || run.at_ms > deadline) {
      continue;
    }
    ++all;
    bad += run.version == "v2" ? 1 : 0;
    after += run.version == "v2" && run.at_ms > rolled_back + 500 ? 1 : 0;
  }
  const double allowed = kExposeShare * all + kExposeSlack;
  Record::Get().Line(
      "v2 got %d of %d requests between its order and its deadline, %.0f "
      "allowed; %d of them later than 0.5 s after its roll-back",
      bad, all, allowed, after);
  Record::Get().Line("%s",
                     bad > allowed ? "EXPOSURE is broken" : "EXPOSURE holds");
  Exit(bad > allowed ? 1 : 0);
}
