// Request plan of the load tool: what is sent and when. It is generated from a
// seed, so that a run can be repeated.
#ifndef BRAMLEYBANK_TOOLS_LOAD_GEN_PLAN_H_
#define BRAMLEYBANK_TOOLS_LOAD_GEN_PLAN_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "hooks.h"
#include "load_gen_settings.h"

namespace bramleybank {

enum class LoadKind { kCompletion, kChat, kBooking, kLookup };

/// One request of the plan.
struct PlannedRequest {
  LoadKind kind = LoadKind::kCompletion;
  /// Planned send time, relative to the start of the run.
  Duration at{0};
  std::string customer;
  /// Unique Idempotency-Key.
  std::string key;
  std::string prompt;
  uint64_t max_tokens = 1;

  friend bool operator==(const PlannedRequest&,
                         const PlannedRequest&) = default;
};

/// Sequence of requests with random (Poisson) arrivals.
class LoadPlan {
 public:
  explicit LoadPlan(const LoadSettings& settings);

  /// @returns the next request, or nothing after the end of the load.
  std::optional<PlannedRequest> Next();

 private:
  double DrawUniform();
  LoadKind PickKind();
  std::string MakePrompt();

  LoadSettings m_settings;
  std::mt19937_64 m_random;
  // Cumulative shares of the customers; the last one is 1.
  std::vector<double> m_cumulative_shares;
  Duration m_at{0};
  uint64_t m_count = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_LOAD_GEN_PLAN_H_
