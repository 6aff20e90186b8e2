// A planned stop of the gateway while all slots of the model servers are taken.
// One server is silent for a second and goes on. The gateway leaves it, the
// others refuse as full, and the gateway ends the streams.
#include "../standin-3/lab.h"

namespace {

constexpr int kEngines = 3;
constexpr int kSlots = 4;
constexpr int kStreams = kEngines * kSlots;
constexpr int kSilentMs = 1000;
constexpr int kGraceMs = 8000;

}  // namespace

int main(int argc, char** argv) {
  using namespace lab;
  signal(SIGPIPE, SIG_IGN);
  Log().Open(argc > 1 ? argv[1] : "record.txt");
  const bool is_troubled = IsTroubled();
  Store store;
  Runs runs;
  std::map<std::string, std::unique_ptr<Engine>> engines;
  for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
    auto engine =
        std::make_unique<Engine>(std::string("i-") + zone, zone, &runs,
                                 EngineTimes{.events = 100, .slots = kSlots});
    engine->drops_on_close = true;
    store.Put("servers", engine->id(), engine->Entry("guide"));
    engines.emplace(engine->id(), std::move(engine));
  }
  Json service = GuideService();
  service["engine"]["slots"] = kSlots;
  store.Put("op", "config",
            MakeConfig(1, Json::array({GuideRoute()}), Json::array({service}))
                .dump());
  int result = 0;
  {
    Gateway gateway("front-1", "zone-a", store.address());
    AwaitReady(&gateway);
    std::vector<std::unique_ptr<StreamClient>> clients;
    for (int i = 0; i < kStreams; ++i) {
      char id[32];
      std::snprintf(id, sizeof(id), "9c41d07be2a3%04x", i);
      clients.push_back(std::make_unique<StreamClient>(gateway, id));
      SleepMs(60);
    }
    SleepMs(600);
    const auto first = runs.Latest(clients.front()->id());
    const int64_t stopped = NowMs();
    Log().Line("SIGTERM");
    gateway.Signal(SIGTERM);
    SleepMs(300);
    if (is_troubled && first) {
      Log().Line("%s is silent for %d ms", first->server.c_str(), kSilentMs);
      engines.at(first->server)->is_dark = true;
      SleepMs(kSilentMs);
      engines.at(first->server)->is_dark = false;
      Log().Line("%s goes on", first->server.c_str());
    }
    int complete = 0;
    int lost = 0;
    for (const auto& client : clients) {
      const StreamResult& stream = client->Join();
      complete += stream.is_complete ? 1 : 0;
      // Ended well before the last sixth of the grace time, and long before
      // the deadline and the route's timeout of 25 s.
      if (stream.status == 200 && !stream.is_complete &&
          stream.ended < stopped + kGraceMs - kGraceMs / 6) {
        ++lost;
        Log().Line("LOST %s: sent at %.3f, cut off at %.3f after %zu events",
                   stream.id.c_str(), static_cast<double>(stream.sent) / 1000,
                   static_cast<double>(stream.ended) / 1000,
                   stream.events.size());
      }
    }
    if (complete + lost < kStreams) {
      std::fprintf(stderr, "%s\n", gateway.log().substr(0, 4000).c_str());
      result = 2;
    } else {
      result = lost > 0 ? 1 : 0;
      Finish(lost > 0, std::to_string(lost) + " of " +
                           std::to_string(kStreams) +
                           " streams were cut off in a planned stop");
    }
    if (const char* path = std::getenv("GATEWAY_LOG")) {
      std::ofstream(path) << gateway.log();
    }
  }
  std::fflush(nullptr);
  std::_Exit(result);
}
