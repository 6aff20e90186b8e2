// Measures the cost of one change to a configuration of the target size
// (12,000 endpoints, 38,000 customers): applied in place, with a copy for each
// change, and with one copy for a batch. Writes one JSON line per figure to
// standard output and to the file named by the first argument.
#include <malloc.h>
#include <sys/resource.h>

#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "config_log.h"

namespace bramleybank {
namespace {

constexpr int kEndpoints = 12000;
constexpr int kCustomers = 38000;

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
             1e6;
}

EndpointConfig MakeEndpoint(int index) {
  return {.address = "10." + std::to_string(index / 10000) + "." +
                     std::to_string(index / 100 % 100) + "." +
                     std::to_string(index % 100) + ":9000",
          .kind = EndpointKind::kEngine,
          .group = "model-" + std::to_string(index % 8),
          .version = "v1",
          .adapter = "",
          .region = "region-" + std::to_string(index % 6),
          .failure_domain = "failure-domain-" + std::to_string(index % 19)};
}

ConfigSnapshot MakeTargetSnapshot() {
  ConfigSnapshot snapshot;
  for (int i = 0; i < kEndpoints; ++i) {
    snapshot.endpoints.push_back(MakeEndpoint(i));
  }
  for (int i = 0; i < kCustomers; ++i) {
    snapshot.customers.push_back({.name = "customer-" + std::to_string(i),
                                  .requests_per_s = 10,
                                  .tokens_in_flight = 1000});
  }
  return snapshot;
}

void Print(std::ofstream* file,
           const std::string& figure,
           double value,
           const std::string& unit) {
  const nlohmann::json line = {{"bench", "config"},
                               {"figure", figure},
                               {"value", value},
                               {"unit", unit}};
  std::cout << line.dump() << std::endl;
  *file << line.dump() << std::endl;
}

/// @returns the mean CPU time of `changes` changes in microseconds.
double MicrosPerChange(ConfigLog* log,
                       int changes,
                       const std::function<void()>& after_each) {
  const double before = CpuSeconds();
  for (int i = 0; i < changes; ++i) {
    EndpointConfig endpoint = MakeEndpoint(i * 37 % kEndpoints);
    endpoint.version = "v" + std::to_string(i);
    log->Apply({.number = log->number() + 1,
                .id = std::to_string(i),
                .action = ConfigAction::kReplace,
                .subject = endpoint});
    after_each();
  }
  return (CpuSeconds() - before) / changes * 1e6;
}

void Run(std::ofstream* file) {
  const double heap_before = HeapBytes();
  ConfigLog log;
  log.Load(MakeTargetSnapshot());
  const double heap_loaded = HeapBytes();
  Print(file, "memory_working_copy_and_index", heap_loaded - heap_before, "B");
  const auto snapshot = log.Snapshot();
  Print(file, "memory_snapshot_in_force", HeapBytes() - heap_loaded, "B");
  Print(file, "apply_in_place", MicrosPerChange(&log, 100000, [] {}),
        "us/change");
  Print(file, "apply_with_copy_each",
        MicrosPerChange(&log, 200, [&] { log.Snapshot(); }), "us/change");
  int count = 0;
  Print(file, "apply_with_copy_per_500",
        MicrosPerChange(&log, 5000,
                        [&] {
                          if (++count % 500 == 0) {
                            log.Snapshot();
                          }
                        }),
        "us/change");
  Print(file, "json_bytes",
        static_cast<double>(FormatConfigSnapshot(*snapshot).size()), "B");
  const double before = CpuSeconds();
  const std::string text = FormatConfigSnapshot(*snapshot);
  const double formatted = CpuSeconds();
  Reason error;
  ParseConfigSnapshot(text, &error);
  Print(file, "json_format", (formatted - before) * 1e3, "ms");
  Print(file, "json_parse", (CpuSeconds() - formatted) * 1e3, "ms");
}

}  // namespace
}  // namespace bramleybank

int main(int argc, char** argv) {
  std::ofstream file(argc > 1 ? argv[1] : "/dev/null");
  bramleybank::Run(&file);
  return 0;
}
