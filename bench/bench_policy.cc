// Compares the routing and limit policies with their baselines, in the policy
// model and in the policy classes alone. Prints one JSON line per figure.
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "limit_customer.h"
#include "limit_divisor.h"
#include "policy_model.h"
#include "route_baselines.h"
#include "route_picker.h"
#include "route_subset.h"

namespace bramleybank {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t kSeed = 20240611;
// Each figure of the model combines this many runs, with kSeed and the seeds
// that follow it.
constexpr int kSeeds = 3;
constexpr double kWarmUpS = 20;
// Time until an engine notices that work was cancelled, in the figures named
// "slow_cancel".
constexpr double kSlowCancelLagS = 2;

struct Figure {
  std::string name;
  double value = 0;
  std::string unit;
  std::optional<double> target{};
  std::optional<double> baseline{};
  std::string baseline_name{};
};

void Print(const Figure& figure) {
  nlohmann::ordered_json line = {
      {"name", figure.name}, {"value", figure.value}, {"unit", figure.unit}};
  if (figure.target) {
    line["target"] = *figure.target;
  }
  if (figure.baseline) {
    line["baseline"] = *figure.baseline;
    line["baseline_name"] = figure.baseline_name;
  }
  line["seed"] = kSeed;
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

std::function<double(double)> ConstantLoad(double load) {
  return [load](double) { return load; };
}

/// @returns the requests of the runs with all seeds that arrived after the
/// warm-up.
std::vector<RequestOutcome> RunAfterWarmUp(ModelRun run) {
  std::vector<RequestOutcome> outcomes;
  for (int i = 0; i < kSeeds; ++i) {
    const auto more = RunModel(run);
    outcomes.insert(outcomes.end(), more.begin(), more.end());
    ++run.seed;
  }
  std::erase_if(outcomes, [&run](const RequestOutcome& outcome) {
    // Requests of the last 4 s are excluded, because they may still be waiting.
    return outcome.arrived_s < kWarmUpS || outcome.arrived_s > run.length_s - 4;
  });
  return outcomes;
}

double Share(const std::vector<RequestOutcome>& outcomes,
             const std::function<bool(const RequestOutcome&)>& predicate) {
  return outcomes.empty()
             ? 0
             : static_cast<double>(std::ranges::count_if(outcomes, predicate)) /
                   static_cast<double>(outcomes.size());
}

double FirstTokenQuantile(const std::vector<RequestOutcome>& outcomes,
                          double quantile) {
  std::vector<double> waits;
  for (const RequestOutcome& outcome : outcomes) {
    if (outcome.first_token_s >= 0) {
      waits.push_back(outcome.first_token_s);
    }
  }
  std::ranges::sort(waits);
  const auto index =
      static_cast<size_t>(quantile * static_cast<double>(waits.size() - 1));
  return waits.empty() ? 0 : waits[index] * 1e3;
}

/// @returns the fraction of all slots that is used by good requests.
double Goodput(const std::vector<RequestOutcome>& outcomes, double length_s) {
  double work = 0;
  for (const RequestOutcome& outcome : outcomes) {
    work += outcome.is_good() ? outcome.work_s : 0;
  }
  return work /
         ((length_s - 4 - kWarmUpS) * kModelEngines * kModelSlots * kSeeds);
}

void PrintFirstToken(int daemons, double load) {
  ModelRun run{.policy = {},
               .daemons = daemons,
               .seed = kSeed,
               .load = ConstantLoad(load)};
  const auto current = RunAfterWarmUp(run);
  run.policy.picker = PickerKind::kRoundRobin;
  const auto round_robin = RunAfterWarmUp(run);
  run.policy.picker = PickerKind::kLeastReported;
  const auto least = RunAfterWarmUp(run);
  char at[64];
  std::snprintf(at, sizeof(at), "_load_%.1f_daemons_%d", load, daemons);
  for (const auto& [name, quantile] :
       {std::pair("p50", 0.5), std::pair("p95", 0.95),
        std::pair("p99", 0.99)}) {
    const std::string full = std::string("first_token_") + name + at;
    const auto target =
        quantile == 0.95 && load < 1 ? std::optional(510.0) : std::nullopt;
    const double value = FirstTokenQuantile(current, quantile);
    Print({full, value, "ms", target, FirstTokenQuantile(round_robin, quantile),
           "round_robin"});
    Print({full, value, "ms", target, FirstTokenQuantile(least, quantile),
           "least_reported_load"});
  }
  const auto refused = &RequestOutcome::is_refused;
  const auto wrong = &RequestOutcome::is_wrongly_refused;
  const auto failed = &RequestOutcome::is_failed;
  for (const auto& [other, name] : {std::pair(&round_robin, "round_robin"),
                                    std::pair(&least, "least_reported_load")}) {
    Print({std::string("refused") + at, Share(current, refused),
           "share of requests", std::nullopt, Share(*other, refused), name});
    Print({std::string("wrongly_refused") + at, Share(current, wrong),
           "share of requests", std::nullopt, Share(*other, wrong), name});
    Print({std::string("failed") + at, Share(current, failed),
           "share of requests", std::nullopt, Share(*other, failed), name});
  }
}

void PrintGoodput(double load, double cancel_lag_s) {
  ModelRun run{.policy = {},
               .seed = kSeed,
               .load = ConstantLoad(load),
               .cancel_lag_s = cancel_lag_s};
  const auto current = RunAfterWarmUp(run);
  run.policy.has_admission = false;
  run.policy.retries = kUnlimitedRetries;
  const auto no_admission = RunAfterWarmUp(run);
  char at[64];
  std::snprintf(at, sizeof(at), "_load_%.1f%s", load,
                cancel_lag_s > 0 ? "_slow_cancel" : "");
  const char* baseline = "no admission, unlimited retries";
  Print({std::string("goodput") + at, Goodput(current, run.length_s),
         "share of all slots", std::min(1.0, load) * 0.9,
         Goodput(no_admission, run.length_s), baseline});
  Print({std::string("good") + at, Share(current, &RequestOutcome::is_good),
         "share of requests", std::nullopt,
         Share(no_admission, &RequestOutcome::is_good), baseline});
  Print({std::string("failed_late") + at,
         Share(current, &RequestOutcome::is_failed), "share of requests",
         std::nullopt, Share(no_admission, &RequestOutcome::is_failed),
         baseline});
}

/// @returns the seconds from `since_s` until the first of 5 consecutive seconds
/// in which 95% of the requests are good, or the rest of the run if that never
/// happens.
double RecoverySeconds(const ModelRun& run, double since_s) {
  const auto outcomes = RunModel(run);
  const auto seconds = static_cast<size_t>(run.length_s) - 4;
  std::vector<int> total(seconds, 0);
  std::vector<int> good(seconds, 0);
  for (const RequestOutcome& outcome : outcomes) {
    const auto second = static_cast<size_t>(outcome.arrived_s);
    if (second < seconds) {
      ++total[second];
      good[second] += outcome.is_good() ? 1 : 0;
    }
  }
  int steady = 0;
  for (auto i = static_cast<size_t>(since_s); i < seconds; ++i) {
    steady = good[i] >= total[i] * 0.95 ? steady + 1 : 0;
    if (steady == 5) {
      return static_cast<double>(i) - 4 - since_s;
    }
  }
  return run.length_s - 4 - since_s;
}

double MeanRecoverySeconds(ModelRun run, double since_s) {
  double sum = 0;
  for (int i = 0; i < kSeeds; ++i) {
    sum += RecoverySeconds(run, since_s);
    ++run.seed;
  }
  return sum / kSeeds;
}

double AttemptsPerRequest(const ModelRun& run, double from_s, double to_s) {
  double attempts = 0;
  double requests = 0;
  for (const RequestOutcome& outcome : RunAfterWarmUp(run)) {
    if (outcome.arrived_s >= from_s && outcome.arrived_s < to_s &&
        !outcome.is_refused) {
      attempts += outcome.attempts;
      ++requests;
    }
  }
  return requests == 0 ? 0 : attempts / requests;
}

void PrintRecovery() {
  struct Case {
    const char* name;
    ModelRun run;
    double since_s;
  };
  const ModelRun domain_loss{.policy = {},
                             .seed = kSeed,
                             .length_s = 140,
                             .load = ConstantLoad(0.7),
                             .domain_failure_at_s = 40};
  const ModelRun surge{
      .policy = {}, .seed = kSeed, .length_s = 140, .load = [](double t) {
        return t >= 20 && t < 50 ? 2.0 : 0.7;
      }};
  ModelRun domain_loss_slow_cancel = domain_loss;
  domain_loss_slow_cancel.cancel_lag_s = kSlowCancelLagS;
  ModelRun surge_slow_cancel = surge;
  surge_slow_cancel.cancel_lag_s = kSlowCancelLagS;
  for (const auto& [name, base, since_s] :
       {Case{"domain_loss", domain_loss, 40}, Case{"surge_ends", surge, 50},
        Case{"domain_loss_slow_cancel", domain_loss_slow_cancel, 40},
        Case{"surge_ends_slow_cancel", surge_slow_cancel, 50}}) {
    ModelRun unlimited = base;
    unlimited.policy.retries = kUnlimitedRetries;
    ModelRun no_admission = unlimited;
    no_admission.policy.has_admission = false;
    for (const auto& [other, label] :
         {std::pair(&unlimited, "unlimited retries"),
          std::pair(&no_admission, "no admission, unlimited retries")}) {
      Print({std::string("recovery_") + name,
             MeanRecoverySeconds(base, since_s), "s", std::nullopt,
             MeanRecoverySeconds(*other, since_s), label});
      Print({std::string("attempts_per_request_") + name,
             AttemptsPerRequest(base, since_s, since_s + 20), "attempts",
             std::nullopt, AttemptsPerRequest(*other, since_s, since_s + 20),
             label});
    }
  }
}

void PrintSmallCustomer() {
  for (const double load : {1.5, 3.0}) {
    ModelRun run{.policy = {},
                 .daemons = 9,
                 .seed = kSeed,
                 .length_s = 140,
                 .load = ConstantLoad(load),
                 .small_share = 0.05};
    const auto good_share = [&run] {
      auto outcomes = RunAfterWarmUp(run);
      std::erase_if(outcomes, [](const RequestOutcome& outcome) {
        return !outcome.is_small_customer;
      });
      return Share(outcomes, &RequestOutcome::is_good);
    };
    const double current = good_share();
    const double current_goodput = Goodput(RunAfterWarmUp(run), run.length_s);
    run.policy.has_fair_share = false;
    char at[64];
    std::snprintf(at, sizeof(at), "_load_%.1f", load);
    Print({std::string("small_customer_good") + at, current,
           "share of requests", 0.9, good_share(), "no fair share"});
    Print({std::string("small_customer_goodput_of_all") + at, current_goodput,
           "share of all slots", std::nullopt,
           Goodput(RunAfterWarmUp(run), run.length_s), "no fair share"});
  }
}

/// Sends requests of one customer at 3 times its limit to all daemons.
/// @returns the admitted rate above the limit as a fraction of the limit.
double LimitError(int daemons, bool is_static, bool is_split, double limit) {
  TimePoint now{1h};
  std::mt19937_64 random(kSeed);
  const ClockHook clock = [&now] { return now; };
  std::vector<std::unique_ptr<LimitDivisor>> divisors;
  std::vector<std::unique_ptr<CustomerLimiter>> limiters;
  const CustomerConfig customer{.name = "c", .requests_per_s = limit};
  for (int i = 0; i < daemons; ++i) {
    divisors.push_back(std::make_unique<LimitDivisor>(clock));
    divisors.back()->OnMembers(daemons);
    limiters.push_back(std::make_unique<CustomerLimiter>(
        clock, is_static ? FixedDivisor(9) : [divisor = divisors.back().get()] {
          return divisor->Get();
        }));
    limiters.back()->SetConfig(std::span(&customer, 1));
  }
  if (is_split) {
    now += 1s;
    for (int i = 0; i < daemons; ++i) {
      divisors[i]->OnMembers(i == 0 ? 1 : daemons - 1);
    }
  }
  constexpr double kLengthS = 300;
  const auto count = static_cast<int>(3 * limit * kLengthS);
  std::exponential_distribution<double> gap(3 * limit);
  int admitted = 0;
  for (int i = 0; i < count; ++i) {
    now += Duration(static_cast<int64_t>(gap(random) * 1e6));
    auto& limiter = limiters[random() % limiters.size()];
    if (const auto admission = limiter->Admit("c", 1, false)) {
      ++admitted;
      limiter->Release(*admission);
    }
  }
  return (admitted / (kLengthS * limit)) - 1;
}

void PrintLimitErrors() {
  for (const int daemons : {3, 9, 30}) {
    for (const bool is_split : {false, true}) {
      const std::string name = "customer_limit_error_daemons_" +
                               std::to_string(daemons) +
                               (is_split ? "_one_cut_off" : "");
      Print({name, LimitError(daemons, false, is_split, 100), "share of limit",
             is_split ? 1.0 : 0.0, LimitError(daemons, true, is_split, 100),
             "static quota for 9 daemons"});
    }
  }
}

size_t BytesInUse() {
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

std::vector<EndpointConfig> MakeEndpoints(int count, int groups, int domains) {
  std::vector<EndpointConfig> configs;
  for (int i = 0; i < count; ++i) {
    EndpointConfig config;
    config.address = "10.0." + std::to_string(i / 250) + "." +
                     std::to_string(i % 250) + ":9000";
    config.group = "model" + std::to_string(i % groups);
    config.version = "v1";
    const int domain = i / groups % domains;
    config.failure_domain = "d" + std::to_string(domain);
    config.region = "r" + std::to_string(domain / 4);
    configs.push_back(config);
  }
  return configs;
}

double NanosecondsPerCall(int count, const std::function<void()>& run) {
  const TimePoint start = SteadyNow();
  for (int i = 0; i < count; ++i) {
    run();
  }
  return static_cast<double>((SteadyNow() - start).count()) * 1e3 / count;
}

void PrintChoose(int endpoints, int groups, int domains, bool has_subset) {
  const auto configs = MakeEndpoints(endpoints, groups, domains);
  std::mt19937_64 random(kSeed);
  const size_t before = BytesInUse();
  EndpointTable table(SteadyNow);
  const size_t empty = BytesInUse();
  table.SetConfig(configs);
  const size_t full = BytesInUse();
  OutlierDetector outliers(SteadyNow, [](NameId) { return 64; });
  RoutePicker picker(&table, &outliers, [&random] { return random(); });
  RoundRobinPicker baseline(&table);
  if (has_subset) {
    std::vector<EndpointConfig> group;
    std::ranges::copy_if(configs, std::back_inserter(group),
                         [](const EndpointConfig& endpoint) {
                           return endpoint.group == "model0";
                         });
    table.SetPreferred("model0",
                       SubsetChooser({"me", "r0", "d0"}).Choose({}, group));
  }
  for (const EndpointConfig& endpoint : configs) {
    table.OnReport(table.Find(endpoint.address),
                   {.running = static_cast<uint32_t>(random() % 8),
                    .slots = 8,
                    .age = 300ms});
  }
  const std::vector<uint64_t> hashes = {1, 2, 3, 4, 5, 6, 7, 8};
  const RouteQuery query{.group = "model0",
                         .version = "v1",
                         .prompt_tokens = 700,
                         .prefix_hashes = hashes,
                         .region = "r0",
                         .failure_domain = "d0"};
  const std::string at = "_endpoints_" + std::to_string(endpoints) +
                         (has_subset ? "" : "_without_subset");
  Print({"choose" + at,
         NanosecondsPerCall(20000, [&] { picker.Choose(query); }), "ns",
         std::nullopt,
         NanosecondsPerCall(2000, [&] { baseline.Choose(query); }),
         "round_robin"});
  if (has_subset) {
    Print({"table_bytes_per_endpoint" + at,
           static_cast<double>(full - empty) / endpoints, "bytes"});
    Print({"table_bytes_fixed" + at, static_cast<double>(empty - before),
           "bytes"});
    Print({"set_config" + at,
           NanosecondsPerCall(20, [&] { table.SetConfig(configs); }) / 1e6,
           "ms"});
  }
}

void PrintCustomerBytes() {
  constexpr int kCustomers = 38000;
  const size_t before = BytesInUse();
  CustomerLimiter limiter(SteadyNow, FixedDivisor(1));
  for (int i = 0; i < kCustomers; ++i) {
    limiter.Admit("customer-" + std::to_string(i), 1, false);
  }
  Print({"bytes_per_customer",
         static_cast<double>(BytesInUse() - before) / kCustomers, "bytes"});
  int next = 0;
  Print({"admit_customers_38000",
         NanosecondsPerCall(
             200000,
             [&] {
               limiter.Admit("customer-" + std::to_string(next++ % kCustomers),
                             1, false);
             }),
         "ns"});
}

int Run() {
  for (const int daemons : {9, 30}) {
    PrintFirstToken(daemons, 0.7);
    PrintFirstToken(daemons, 0.9);
  }
  for (const double load : {0.7, 1.0, 1.5, 3.0}) {
    PrintGoodput(load, 0);
    PrintGoodput(load, kSlowCancelLagS);
  }
  PrintRecovery();
  PrintSmallCustomer();
  PrintLimitErrors();
  PrintChoose(32, 1, 4, true);
  PrintChoose(12000, 8, 19, true);
  PrintChoose(12000, 8, 19, false);
  PrintCustomerBytes();
  return 0;
}

}  // namespace
}  // namespace bramleybank

int main() {
  return bramleybank::Run();
}
