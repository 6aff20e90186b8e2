// Guards against gateways that follow an older configuration longer than the
// users' bound allows. Configurations are published in quick succession while
// the store, its connections or the gateways are in trouble.
//
// CONFIG_BOUND_ROUNDS (rounds of each kind of trouble), CONFIG_BOUND_FIRST
// (first seed) and CONFIG_BOUND_ONLY (part of the name of a kind) select longer
// runs.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <numeric>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "wire_deployment.h"

namespace bramleybank::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using Time = steady_clock::time_point;

// The users' bounds: a change is in force this long after its acknowledgement,
// at machines without trouble for the contact time.
constexpr milliseconds kApplyBound{2500};
constexpr milliseconds kContactTime{4000};
// While the store serves only some of the gateways, the bound is longer.
constexpr milliseconds kPartialBound = kApplyBound + milliseconds(6000);
constexpr milliseconds kPublishInterval{300};
constexpr milliseconds kProbeInterval{50};
constexpr milliseconds kCheckedTime{4000};

struct Acknowledgement {
  uint64_t version = 0;
  Time at;
};

/// A configuration version that a gateway reported in an answer to a question
/// sent at this time.
struct Sample {
  int gateway = 0;
  Time sent_at;
  uint64_t version = 0;
};

/// Publishes configurations and asks every gateway which one it follows, until
/// Stop() is called.
class ConfigStorm {
 public:
  ConfigStorm(const WireDeployment* site, uint64_t first_version)
      : m_site(site), m_next_version(first_version) {
    m_threads.emplace_back([this] { Publish(); });
    for (int i = 0; i < site->gateway_count(); ++i) {
      m_threads.emplace_back([this, i] { Probe(i); });
    }
  }
  ~ConfigStorm() { Stop(); }

  void Stop() {
    m_is_stopping = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  uint64_t next_version() const { return m_next_version; }

  /// Checks the answers to questions that were sent between `from` and `to`.
  /// Call after Stop().
  void Check(Time from, Time to, milliseconds bound) const {
    milliseconds longest{0};
    size_t checked = 0;
    size_t late = 0;
    size_t regressions = 0;
    std::vector<uint64_t> newest(m_site->gateway_count());
    for (const Sample& sample : m_samples) {
      if (sample.sent_at < from || sample.sent_at >= to) {
        continue;
      }
      ++checked;
      const milliseconds lag = LagOf(sample);
      longest = std::max(longest, lag);
      late += lag > bound ? 1 : 0;
      regressions += sample.version < newest[sample.gateway] ? 1 : 0;
      newest[sample.gateway] = sample.version;
    }
    MESSAGE(m_acknowledgements.size(), " versions, ", checked,
            " answers checked, longest lag ", longest.count(), " ms of ",
            bound.count());
    CHECK(checked > 0);
    CHECK(late == 0);
    CHECK(regressions == 0);
  }

 private:
  void Publish() {
    std::mt19937_64 random(m_next_version);
    while (!m_is_stopping) {
      const uint64_t version = m_next_version;
      m_site->PublishConfig(version, "key-1",
                            WireDeployment::ProbeRoute(version));
      m_acknowledgements.push_back({version, steady_clock::now()});
      m_next_version = version + 1 + random() % 3;
      std::this_thread::sleep_for(kPublishInterval);
    }
  }

  void Probe(int gateway) {
    while (!m_is_stopping) {
      const Time sent_at = steady_clock::now();
      const auto version = static_cast<uint64_t>(MetricValue(
          m_site->metrics_url(gateway), "bramleybank_config_version"));
      if (version > 0) {
        const std::lock_guard lock(m_mutex);
        m_samples.push_back({gateway, sent_at, version});
      }
      std::this_thread::sleep_for(kProbeInterval);
    }
  }

  /// @returns for how long a newer version had been acknowledged.
  milliseconds LagOf(const Sample& sample) const {
    for (const Acknowledgement& newer : m_acknowledgements) {
      if (newer.version > sample.version && newer.at < sample.sent_at) {
        return std::chrono::duration_cast<milliseconds>(sample.sent_at -
                                                        newer.at);
      }
    }
    return milliseconds{0};
  }

  const WireDeployment* m_site;
  uint64_t m_next_version;
  std::atomic<bool> m_is_stopping = false;
  std::vector<Acknowledgement> m_acknowledgements;
  std::mutex m_mutex;
  std::vector<Sample> m_samples;
  std::vector<std::thread> m_threads;
};

/// Publishes configurations during the trouble and after it, and checks which
/// ones the gateways follow once the contact time has passed.
void CheckBound(const WireDeployment& site,
                uint64_t* version,
                bool is_partial,
                const std::function<void()>& trouble) {
  const Time start = steady_clock::now();
  ConfigStorm storm(&site, *version);
  trouble();
  const Time in_touch_from = steady_clock::now() + kContactTime;
  std::this_thread::sleep_for(kContactTime + kCheckedTime);
  storm.Stop();
  *version = storm.next_version();
  if (is_partial) {
    storm.Check(start, in_touch_from, kPartialBound);
  }
  storm.Check(in_touch_from, Time::max(), kApplyBound);
}

/// Waits until all gateways know each other. From then on they wait for
/// changes.
void WaitForMembers(const WireDeployment& site) {
  for (int i = 0; i < site.gateway_count(); ++i) {
    WaitUntil("all gateways to know each other", [&] {
      return MetricValue(site.metrics_url(i), "bramleybank_gateways") ==
             site.gateway_count();
    });
  }
}

int Environment(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

void Sleep(milliseconds time) {
  std::this_thread::sleep_for(time);
}

/// One kind of trouble. It has ended when the function returns.
struct Trouble {
  std::string name;
  std::function<void(WireDeployment* site, std::mt19937_64* random)> run;
  /// Whether the store serves the other gateways all the while.
  bool is_partial = false;
};

milliseconds Draw(std::mt19937_64* random, int least, int most) {
  return milliseconds(least + static_cast<int>((*random)() % (most - least)));
}

Trouble StoreTrouble(const char* name, const nlohmann::json& control) {
  return {name, [control](WireDeployment* site, std::mt19937_64* random) {
            Sleep(Draw(random, 0, 3000));
            site->ControlStore(control);
            Sleep(Draw(random, 200, 4000));
            site->ControlStore({{"down", ""}, {"delay_ms", 0}});
          }};
}

Trouble LinkTrouble(const char* name, const nlohmann::json& control) {
  return {name, [control](WireDeployment* site, std::mt19937_64* random) {
            Sleep(Draw(random, 0, 3000));
            for (int i = 0; i < site->gateway_count(); ++i) {
              site->ControlStoreLink(i, control);
            }
            Sleep(Draw(random, 0, 4000));
            for (int i = 0; i < site->gateway_count(); ++i) {
              site->ControlStoreLink(i, {{"clear", true}});
            }
          }};
}

/// @returns up to four gateways.
std::vector<int> DrawGateways(const WireDeployment& site,
                              std::mt19937_64* random) {
  std::vector<int> chosen(site.gateway_count());
  std::iota(chosen.begin(), chosen.end(), 0);
  std::shuffle(chosen.begin(), chosen.end(), *random);
  chosen.resize(1 + (*random)() % 4);
  return chosen;
}

/// @returns all gateways of the first failure domain, and one of another.
std::vector<int> DrawDomainAndOne(const WireDeployment& /*site*/,
                                  std::mt19937_64* random) {
  return {0, 1, 2, 3 + static_cast<int>((*random)() % 6)};
}

/// Some gateways are cut off from the store, which serves the others.
Trouble PartialTrouble(const char* name,
                       const nlohmann::json& control,
                       std::vector<int> (*choose)(const WireDeployment&,
                                                  std::mt19937_64*)) {
  return {name,
          [control, choose](WireDeployment* site, std::mt19937_64* random) {
            const std::vector<int> chosen = choose(*site, random);
            Sleep(Draw(random, 0, 3000));
            for (const int i : chosen) {
              site->ControlStoreLink(i, control);
            }
            Sleep(Draw(random, 9000, 14000));
            for (const int i : chosen) {
              site->ControlStoreLink(i, {{"clear", true}});
            }
          },
          /*is_partial=*/true};
}

Trouble InstantLinkTrouble(const char* name, const nlohmann::json& control) {
  return {name, [control](WireDeployment* site, std::mt19937_64* random) {
            Sleep(Draw(random, 0, 3000));
            for (int i = 0; i < site->gateway_count(); ++i) {
              site->ControlStoreLink(i, control);
            }
          }};
}

std::vector<Trouble> AllTroubles() {
  return {
      {"none", [](WireDeployment*, std::mt19937_64*) {}},
      InstantLinkTrouble("silent connections", {{"silence_all", true}}),
      InstantLinkTrouble("reset connections", {{"reset_all", true}}),
      LinkTrouble("cut to the store", {{"cut_to_target", true}}),
      LinkTrouble("cut from the store", {{"cut_to_client", true}}),
      LinkTrouble("lost answers", {{"drop_answer", true}}),
      LinkTrouble("half-open connections", {{"half_open", true}}),
      LinkTrouble("refused connections", {{"refuse", true}}),
      PartialTrouble("some gateways get no answer", {{"cut_to_client", true}},
                     &DrawGateways),
      PartialTrouble("some gateways reach nothing",
                     {{"half_open", true}, {"reset_all", true}}, &DrawGateways),
      PartialTrouble("a domain and a gateway reach nothing",
                     {{"half_open", true}, {"reset_all", true}},
                     &DrawDomainAndOne),
      PartialTrouble("some gateways are reset",
                     {{"reset_new", true}, {"reset_all", true}}, &DrawGateways),
      PartialTrouble("some gateways lose answers", {{"drop_answer", true}},
                     &DrawGateways),
      StoreTrouble("store busy", {{"down", "busy"}}),
      StoreTrouble("store refuses", {{"down", "many"}}),
      StoreTrouble("store silent", {{"down", "silent"}}),
      StoreTrouble("store resets", {{"down", "reset"}}),
      StoreTrouble("store slow", {{"delay_ms", 300}}),
      StoreTrouble("history discarded", {{"discard_history", true}}),
      {"gateways frozen",
       [](WireDeployment* site, std::mt19937_64* random) {
         for (int i = 0; i < site->gateway_count(); ++i) {
           site->gateway(i).Pause();
         }
         Sleep(Draw(random, 200, 4000));
         for (int i = 0; i < site->gateway_count(); ++i) {
           site->gateway(i).Continue();
         }
       }},
      {"gateways killed",
       [](WireDeployment* site, std::mt19937_64* random) {
         Sleep(Draw(random, 0, 3000));
         for (int i = 0; i < site->gateway_count(); i += 2) {
           site->gateway(i).Kill();
           site->StartGateway(i);
         }
       }},
  };
}

TEST_CASE("configurations are in force in time after the store was in trouble" *
          doctest::skip(Environment("CONFIG_BOUND_ROUNDS", 0) == 0)) {
  WireDeployment site(
      {.domains = 3, .gateways_per_domain = 3, .is_proxied = true});
  WaitForMembers(site);
  uint64_t version = 2;
  const int first = Environment("CONFIG_BOUND_FIRST", 1);
  const int rounds = Environment("CONFIG_BOUND_ROUNDS", 0);
  const char* only_text = std::getenv("CONFIG_BOUND_ONLY");
  const std::string only = only_text == nullptr ? "" : only_text;
  for (int seed = first; seed < first + rounds; ++seed) {
    std::mt19937_64 random(seed);
    for (const Trouble& trouble : AllTroubles()) {
      if (trouble.name.find(only) == std::string::npos) {
        continue;
      }
      MESSAGE("seed ", seed, ": ", trouble.name);
      CheckBound(site, &version, trouble.is_partial,
                 [&] { trouble.run(&site, &random); });
    }
  }
}

TEST_CASE("a single change reaches gateways that the store does not answer") {
  const WireDeployment site(
      {.domains = 3, .gateways_per_domain = 3, .is_proxied = true});
  WaitForMembers(site);
  std::mt19937_64 random(1);
  uint64_t version = 1;
  for (int round = 0; round < Environment("CONFIG_BOUND_ROUNDS", 1); ++round) {
    CAPTURE(round);
    for (int i = 0; i < site.gateway_count(); i += 3) {
      site.ControlStoreLink(i, {{"half_open", true}, {"reset_all", true}});
    }
    Sleep(Draw(&random, 3000, 6000));
    ++version;
    site.PublishConfig(version, "key-1", WireDeployment::ProbeRoute(version));
    const Time published = steady_clock::now();
    for (int i = 0; i < site.gateway_count(); ++i) {
      CAPTURE(i);
      WaitUntil("the change", [&] {
        return MetricValue(site.metrics_url(i), "bramleybank_config_version") ==
               static_cast<double>(version);
      });
      const auto took = std::chrono::duration_cast<milliseconds>(
          steady_clock::now() - published);
      MESSAGE("gateway ", i, " followed after ", took.count(), " ms");
      CHECK(took.count() <= kPartialBound.count());
    }
    for (int i = 0; i < site.gateway_count(); ++i) {
      site.ControlStoreLink(i, {{"clear", true}});
    }
    Sleep(kContactTime);
  }
}

TEST_CASE("configurations are in force in time after connections went silent") {
  const WireDeployment site({.domains = 3, .is_proxied = true});
  WaitForMembers(site);
  uint64_t version = 2;
  CheckBound(site, &version, /*is_partial=*/false, [&] {
    for (int i = 0; i < site.gateway_count(); ++i) {
      site.ControlStoreLink(i, {{"silence_all", true}});
    }
  });
}

}  // namespace
}  // namespace bramleybank::testing
