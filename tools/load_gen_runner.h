// Runs a load plan: sends each request at its planned time, independently of
// the answers.
#ifndef BRAMLEYBANK_TOOLS_LOAD_GEN_RUNNER_H_
#define BRAMLEYBANK_TOOLS_LOAD_GEN_RUNNER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "load_gen_generation.h"
#include "load_gen_plan.h"

namespace bramleybank {

class LoadCall;

/// Open-loop run of one plan.
class LoadRunner {
 public:
  /// @param on_end called once when the load has ended and all requests are
  /// answered or the drain limit has passed.
  LoadRunner(const LoadContext* context, std::function<void()> on_end);
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  /// Runs the plan of the settings.
  void Start();
  /// Runs a single request now.
  void StartSingle(const PlannedRequest& request);
  /// Stops sending. The run ends when the open requests are answered.
  void StopSending();

 private:
  void ScheduleNext();
  void Launch(const PlannedRequest& request, TimePoint intended);
  void OnRequestEnd(uint64_t id);
  void OnPlanEnd();
  void EndIfIdle();
  void End();

  const LoadContext* m_context;
  std::function<void()> m_on_end;
  LoadPlan m_plan;
  TimePoint m_start;
  std::optional<PlannedRequest> m_next;
  bool m_plan_ended = false;
  bool m_ended = false;
  uint64_t m_next_id = 1;
  std::unordered_map<uint64_t, std::unique_ptr<LoadGeneration>> m_generations;
  std::unordered_map<uint64_t, std::unique_ptr<LoadCall>> m_calls;
  TimerHandle m_send_timer;
  TimerHandle m_drain_timer;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_LOAD_GEN_RUNNER_H_
