// Core of the engine stand-in, independent of HTTP routes: streams by
// generation, steps of the batch, hold times and counters.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_ENGINE_CORE_H_
#define BRAMLEYBANK_TOOLS_STANDIN_ENGINE_CORE_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "standin_engine_batch.h"
#include "standin_engine_cache.h"
#include "standin_engine_faults.h"
#include "standin_engine_load.h"
#include "standin_engine_settings.h"

namespace bramleybank {

class EventLoop;
class HttpResponder;

}  // namespace bramleybank

namespace bramleybank::standin {

class EngineStream;

/// Parsed request for a generation.
struct EngineRequest {
  std::string generation;
  uint32_t attempt = 1;
  int priority = 0;
  std::string prompt;
  uint64_t max_tokens = 1;
  std::vector<std::string> resume_tokens;
};

enum class EngineStatus {
  kOk,
  kUnknownStream,
  /// The stream already has this attempt or a higher one.
  kStaleAttempt,
  /// The resume tokens exceed max_tokens or do not form a chain for this model,
  /// version, adapter and prompt, or the stream has not reached the position.
  kBadResume,
  /// A version fault makes the request fail.
  kVersionFault,
};

/// Streams, batch and cache of one engine.
class EngineCore {
 public:
  EngineCore(EventLoop* loop, const EngineSettings& settings);
  ~EngineCore();
  EngineCore(const EngineCore&) = delete;
  EngineCore& operator=(const EngineCore&) = delete;

  /// Starts or resumes a generation. The responder is used only with kOk.
  EngineStatus Start(const EngineRequest& request,
                     const std::shared_ptr<HttpResponder>& responder);
  /// Continues a stream after position `after`.
  EngineStatus Attach(const std::string& generation,
                      uint32_t attempt,
                      uint64_t after,
                      const std::shared_ptr<HttpResponder>& responder);
  EngineStatus Cancel(const std::string& generation, uint32_t attempt);

  /// Executes a command: `{"command": "load_version" | "load_model" |
  /// "load_adapter" | "set_role", "name": "..."}`.
  /// @returns the HTTP status: 409 for an old fencing number if checks_fencing
  /// is set, 400 for an unknown command.
  int RunCommand(const nlohmann::json& command, uint64_t fencing_number);
  /// Changes the injected faults, see EngineFaults::Apply().
  bool ApplyControl(const nlohmann::json& control, std::string* error);

  nlohmann::json Load() const;
  nlohmann::json CacheEvents(uint64_t after) const;
  nlohmann::json Stats() const;

  /// @returns a random generation id in hex, for a request that has none.
  std::string NewGenerationId();
  const std::string& model() const { return m_settings.model; }

 private:
  // A stream that is queued or generating in the batch.
  struct Run {
    std::shared_ptr<EngineStream> stream;
    uint64_t prefill_tokens = 0;
    bool admitted = false;
    // End of the prefill.
    TimePoint ready_at{};
    double slowdown = 1;
    // Number of tokens due. Grows by 1 / slowdown with each step.
    double credit = 0;
  };
  struct StreamEntry {
    std::shared_ptr<EngineStream> stream;
    uint64_t run = 0;
    bool cancelled = false;
    TimerHandle hold_timer{};
  };
  struct Counters {
    uint64_t tokens = 0;
    uint64_t prefill_tokens = 0;
    uint64_t cached_tokens = 0;
    uint64_t started = 0;
    uint64_t resumed = 0;
    uint64_t attached = 0;
    uint64_t cancelled = 0;
    uint64_t expired = 0;
    uint64_t finished = 0;
  };

  std::shared_ptr<EngineStream> MakeStream(const EngineRequest& request,
                                           const RequestEffect& effect,
                                           uint64_t run);
  void StartRun(const EngineRequest& request,
                std::shared_ptr<EngineStream> stream,
                double slowdown,
                uint64_t run);
  void AdmitRuns();
  void EndRun(uint64_t run);
  void ScheduleStep();
  void Step();
  void StepRun(uint64_t id, Run* run);
  void StartHoldTimer(const std::string& generation, uint64_t run);
  void OnHoldTimeout(const std::string& generation);
  void CancelStream(StreamEntry* entry);
  void SampleLoad();
  uint16_t DeriveNonce(const EngineRequest& request) const;

  EventLoop* m_loop;
  EngineSettings m_settings;
  std::mt19937_64 m_random;
  // Makes the tokens sampled by this process differ from those of others.
  uint64_t m_process_nonce;
  BatchModel m_batch;
  PrefixCache m_cache;
  LoadHistory m_load_history;
  EngineFaults m_faults;
  uint64_t m_next_run = 1;
  std::unordered_map<uint64_t, Run> m_runs;
  // Latest attempt of each generation, kept until its hold time ends.
  std::unordered_map<std::string, StreamEntry> m_streams;
  TimePoint m_last_step;
  TimerHandle m_step_timer;
  TimerHandle m_load_timer;
  Counters m_counters;
  std::string m_role = "both";
  uint64_t m_fencing_number = 0;
  uint64_t m_commands = 0;
  uint64_t m_commands_refused = 0;
};

}  // namespace bramleybank::standin

#endif  // BRAMLEYBANK_TOOLS_STANDIN_ENGINE_CORE_H_
