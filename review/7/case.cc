// A server fails part of its requests after it has run them, with 503 and
// without the header that promises that a request was not run. REFUSED: a
// request that isn't idempotent is answered 503 and has run.
#include "lab.h"

#include <set>

using namespace lab;

namespace {

constexpr int kGateways = 2;
constexpr int kServers = 7;
constexpr int kClients = 8;
constexpr int64_t kIntervalMs = 100;
constexpr int64_t kTroubleMs = 6000;
// srv_grey: share (.15) of the servers fail x (.4) of their requests.
constexpr int kFailedPercent = 40;

}  // namespace

int main(int, char** argv) {
  Begin(argv[1]);
  Store store;
  store.Start();
  Runs runs;
  store.Put("op", "config",
            ConfigJson(7, {{.name = "book", .service = "desk"}}).dump());
  std::atomic<bool> is_grey{false};
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    const bool is_faulty = i == 0;
    servers.push_back(std::make_unique<Server>(
        &store, &runs,
        ServerOptions{.id = "i-00" + std::to_string(i),
                      .service = "desk",
                      .work_ms = 30,
                      .fails =
                          [&is_grey, is_faulty] {
                            return is_faulty && is_grey &&
                                   std::rand() % 100 < kFailedPercent;
                          },
                      .failure = "503 Service Unavailable"}));
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
  SleepMs(4500);
  std::atomic<bool> stop{false};
  std::atomic<int> bookings{0};
  std::mutex mutex;
  std::set<std::string> promised;
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      int64_t next = NowMs() + c * kIntervalMs / kClients;
      while (!stop) {
        SleepUntil(next);
        next += kIntervalMs;
        // The client repeats a booking once, with a new id, after a promise
        // that it has not run.
        const std::string booking = "booking-" + std::to_string(++bookings);
        for (const char* attempt : {".1", ".2"}) {
          const std::string id = booking + attempt;
          const Message answer =
              Call(gateways[c % kGateways]->front(), "POST", "/book/1", id);
          const int status = answer.Status();
          Record::Get().Detail("answer %s %d", id.c_str(), status);
          const bool is_promise =
              answer.complete && (status == 408 || status == 421 ||
                                  status == 429 || status == 503);
          if (!is_promise) {
            break;
          }
          const std::lock_guard lock(mutex);
          promised.insert(id);
        }
      }
    });
  }
  SleepMs(2000);
  if (HasTrouble()) {
    Record::Get().Line("server i-000 fails %d in 100 of its requests",
                       kFailedPercent);
    is_grey = true;
  }
  SleepMs(kTroubleMs);
  is_grey = false;
  SleepMs(2000);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }

  int false_promises = 0;
  std::map<std::string, int> per_booking;
  for (const Run& run : runs.All()) {
    ++per_booking[run.request_id.substr(0, run.request_id.find('.'))];
    if (promised.count(run.request_id) > 0) {
      ++false_promises;
      Record::Get().Line("%s was answered 503 and has run at %s",
                         run.request_id.c_str(), run.server.c_str());
    }
  }
  int doubled = 0;
  for (const auto& [booking, count] : per_booking) {
    doubled += count > 1 ? 1 : 0;
  }
  Record::Get().Line(
      "%d of %d bookings got a refusal and had run; %d ran twice, as the "
      "client "
      "trusted the refusal: %s",
      false_promises, bookings.load(), doubled,
      false_promises > 0 ? "REFUSED is broken" : "REFUSED holds");
  Exit(false_promises > 0 ? 1 : 0);
}
