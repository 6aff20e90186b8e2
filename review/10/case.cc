// An operator orders a third version while the gateways end the rollout of the
// second one, and the store is slow. EXPOSURE: a bad version gets more than
// expose_share of the requests that reach its service between its order and its
// deadline, and expose_slack.
#include "lab.h"

using namespace lab;

namespace {

constexpr int kServices = 5;
constexpr int kGateways = 3;
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50;
constexpr int64_t kContactMs = 4000;
constexpr int64_t kCalmAnswerMs = 4;
// platform_slow: x (50) times as long.
constexpr int64_t kSlowAnswerMs = 200;
constexpr int kFirstDurationS = 12;
constexpr int kSecondDurationS = 20;
constexpr int64_t kOrderGapMs = 300;

std::string Service(int i) {
  return "desk-" + std::to_string(i);
}

std::string Order(int service, const char* version, int seconds) {
  return json{
      {"service", Service(service)}, {"to", version}, {"duration_s", seconds}}
      .dump();
}

}  // namespace

int main(int, char** argv) {
  Begin(argv[1]);
  Store store;
  store.Start();
  std::vector<Runs> runs(kServices);
  std::vector<Route> routes;
  for (int i = 0; i < kServices; ++i) {
    routes.push_back({.name = "read-" + std::to_string(i),
                      .service = Service(i),
                      .kind = "safe",
                      .max_attempts = 2});
  }
  store.Put("op", "config", ConfigJson(7, routes).dump());
  store.on_write = [](const std::string& table, const std::string& key,
                      const std::string& value) {
    if (table == "status") {
      Record::Get().Line("status/%s %s", key.c_str(), value.c_str());
    } else if (table == "rollouts" && key.find('/') == std::string::npos) {
      Record::Get().Detail("rollouts/%s %s", key.c_str(), value.c_str());
    }
  };
  std::vector<std::unique_ptr<Server>> servers;
  const auto add = [&](int service, const std::string& version, int failing) {
    for (int i = 0; i < 3; ++i) {
      servers.push_back(std::make_unique<Server>(
          &store, &runs[service],
          ServerOptions{
              .id =
                  "i-" + std::to_string(service) + version + std::to_string(i),
              .service = Service(service),
              .version = version,
              .slots = 30,
              .work_ms = 20,
              .fails = [failing] { return std::rand() % 100 < failing; }}));
    }
  };
  for (int s = 0; s < kServices; ++s) {
    add(s, "v1", 0);
  }
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
  for (int c = 0; c < kServices * 6; ++c) {
    clients.emplace_back([&, c] {
      std::unique_ptr<Socket> socket;
      const std::string path = "/read-" + std::to_string(c % kServices) + "/1";
      int64_t next = NowMs() + c * 7;
      while (!stop) {
        SleepUntil(next);
        next += 150;
        if (!socket) {
          socket =
              Socket::Connect(gateways[c / kServices % kGateways]->front());
        }
        if (!socket) {
          continue;
        }
        const std::string id = "r" + std::to_string(++count);
        socket->Send(RequestText("GET", path, id));
        const Message answer = socket->Read(4500);
        Record::Get().Detail("answer %s %d", id.c_str(), answer.Status());
        if (!answer.complete || socket->ended()) {
          socket.reset();
        }
      }
    });
  }
  SleepMs(6000);
  for (int s = 0; s < kServices; ++s) {
    add(s, "v2", 0);
  }
  SleepMs(300);
  const int64_t first = NowMs();
  for (int s = 0; s < kServices; ++s) {
    store.Put("op", "rollout/" + Service(s), Order(s, "v2", kFirstDurationS));
  }
  Record::Get().Line("orders of v2, which is good");
  SleepUntil(first + 8000);
  for (int s = 0; s < kServices; ++s) {
    add(s, "v3", 50);
  }
  if (HasTrouble()) {
    Record::Get().Line("the store is slow: %lld ms an answer",
                       static_cast<long long>(kSlowAnswerMs));
    store.delay_ms = kSlowAnswerMs;
  }
  SleepUntil(first + 9050);
  std::vector<int64_t> ordered(kServices);
  for (int s = 0; s < kServices; ++s) {
    if (!HasTrouble()) {
      // The first rollout has ended before the next one is ordered.
      while (store.Get("status", "rollout/" + Service(s)).find("completed") ==
             std::string::npos) {
        SleepMs(20);
      }
      SleepMs(500);
    }
    ordered[s] = NowMs();
    store.Put("op", "rollout/" + Service(s), Order(s, "v3", kSecondDurationS));
    Record::Get().Line("order of v3, half of whose answers fail, for %s",
                       Service(s).c_str());
    SleepMs(kOrderGapMs);
  }
  SleepMs(1500);
  store.delay_ms = kCalmAnswerMs;
  const int64_t calm = NowMs();
  Record::Get().Line("the store is as usual");
  SleepUntil(ordered.back() + kSecondDurationS * 1000 + 500);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }

  int broken = 0;
  for (int s = 0; s < kServices; ++s) {
    const int64_t deadline = ordered[s] + kSecondDurationS * 1000;
    int all = 0;
    int bad = 0;
    for (const Run& run : runs[s].All()) {
      const bool is_within = run.at_ms >= ordered[s] && run.at_ms <= deadline;
      all += is_within ? 1 : 0;
      // Machines are in touch contact_ms after the store was slow.
      bad += is_within && run.version == "v3" && run.at_ms >= calm + kContactMs
                 ? 1
                 : 0;
    }
    const double allowed = kExposeShare * all + kExposeSlack;
    Record::Get().Line(
        "%s: v3 got %d of %d requests from machines in touch, %.0f allowed; "
        "status at the end %s",
        Service(s).c_str(), bad, all, allowed,
        store.Get("status", "rollout/" + Service(s)).c_str());
    broken += bad > allowed ? 1 : 0;
  }
  Record::Get().Line("%d of %d services: %s", broken, kServices,
                     broken > 0 ? "EXPOSURE is broken" : "EXPOSURE holds");
  Exit(broken > 0 ? 1 : 0);
}
