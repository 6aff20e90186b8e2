// Models engines with slots, queues and prefix caches, and daemons that see
// stale load reports.
#include "policy_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>

#include "model_daemon.h"
#include "model_engine.h"
#include "route_subset.h"
#include "stream_stall_detector.h"

namespace bramleybank {
namespace {

using namespace std::chrono_literals;

constexpr double kShortWorkS = 2;
constexpr double kLongWorkS = 30;
constexpr double kLongShare = 0.07;
constexpr double kPrefillTokensPerS = 8000;
constexpr double kMeanPrefillS = 0.15;
constexpr double kTokensPerWorkS = 30;
constexpr int kPrefixes = 200;
constexpr uint32_t kPrefixBlocks = 16;
constexpr auto kReportInterval = 1s;

Duration Seconds(double value) {
  return Duration(static_cast<int64_t>(value * 1e6));
}

struct Request {
  RequestOutcome outcome;
  ModelDaemon* daemon = nullptr;
  OutputClass output = OutputClass::kShort;
  double work_left_s = 0;
  uint32_t prompt_tokens = 0;
  int prefix = 0;
  std::vector<uint64_t> hashes;
  Pick pick;
  int engine = 0;
  JobPtr job;
  Duration first_estimate{};
  TimePoint arrived;
  TimePoint attempt_started;
  TimePoint attempt_first_token_at;
  std::vector<EndpointHandle> avoid;
};

class PolicyModel {
 public:
  explicit PolicyModel(const ModelRun& run) : m_run(run), m_random(run.seed) {
    MakeDaemons();
    ScheduleArrival();
    if (run.domain_failure_at_s >= 0) {
      ScheduleAfter(Seconds(run.domain_failure_at_s), [this] { FailDomain(); });
    }
  }

  std::vector<RequestOutcome> Run() {
    const TimePoint end = m_start + Seconds(m_run.length_s);
    while (!m_events.empty() && m_events.top().at <= end) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    std::vector<RequestOutcome> outcomes;
    for (const Request& request : m_requests) {
      outcomes.push_back(request.outcome);
    }
    return outcomes;
  }

 private:
  struct Event {
    TimePoint at;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  void ScheduleAfter(Duration delay, std::function<void()> run) {
    m_events.push({m_now + delay, ++m_order, std::move(run)});
  }
  double Uniform() {
    return std::uniform_real_distribution<double>()(m_random);
  }
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(m_random);
  }
  double SinceStart() const {
    return std::chrono::duration<double>(m_now - m_start).count();
  }
  static std::string DomainName(int i) {
    return "d" + std::to_string(i % kModelDomains);
  }
  static std::string RegionName(int i) {
    return "r" + std::to_string(i % kModelDomains / 2);
  }

  void MakeDaemons() {
    std::vector<EndpointConfig> engines;
    std::vector<SubsetMember> members;
    for (int i = 0; i < kModelEngines; ++i) {
      EndpointConfig config;
      config.address = "engine" + std::to_string(i);
      config.group = "m";
      config.region = RegionName(i);
      config.failure_domain = DomainName(i);
      engines.push_back(config);
    }
    for (int i = 0; i < m_run.daemons; ++i) {
      members.push_back({std::to_string(i), RegionName(i), DomainName(i)});
    }
    for (const SubsetMember& member : members) {
      auto daemon = std::make_unique<ModelDaemon>(
          m_run, [this] { return m_now; }, [this] { return m_random(); });
      ModelDaemon* d = daemon.get();
      d->region = member.region;
      d->domain = member.failure_domain;
      d->table.SetConfig(engines);
      d->table.SetPreferred("m",
                            SubsetChooser(member).Choose(members, engines));
      d->choose = [d, kind = m_run.policy.picker](const RouteQuery& query) {
        return kind == PickerKind::kEstimate ? d->estimate.Choose(query)
               : kind == PickerKind::kRoundRobin
                   ? d->round_robin.Choose(query)
                   : d->least_reported.Choose(query);
      };
      m_daemons.push_back(std::move(daemon));
      for (int i = 0; i < kModelEngines; ++i) {
        ScheduleAfter(Seconds(Uniform()), [this, d, i] { PollLoad(d, i); });
      }
    }
  }

  // Load reports arrive 0.2 to 1.2 s after they were made; one in ten is lost.
  void PollLoad(ModelDaemon* daemon, int index) {
    ScheduleAfter(kReportInterval,
                  [this, daemon, index] { PollLoad(daemon, index); });
    const ModelEngine& engine = m_engines[index];
    if (!engine.is_alive) {
      ScheduleAfter(kConnectTimeout, [daemon, index] {
        const EndpointHandle handle = HandleOf(daemon, index);
        daemon->outliers.OnPoll(daemon->table.Get(handle)->group, handle,
                                false);
      });
      return;
    }
    if (Uniform() < 0.1) {
      return;
    }
    const Duration lag = 200ms + Seconds(Uniform());
    const LoadReport report{
        .running = static_cast<uint32_t>(engine.running.size()),
        .waiting = static_cast<uint32_t>(engine.waiting.size()),
        .slots = kModelSlots,
        .age = lag};
    // The engine keeps only its last 256 cache events, so slow readers see
    // gaps.
    const size_t first =
        engine.events.size() - std::min<size_t>(256, engine.events.size());
    ScheduleAfter(lag, [=, this, last = engine.events.size()] {
      const EndpointHandle handle = HandleOf(daemon, index);
      daemon->table.OnReport(handle, report);
      const EndpointState* state = daemon->table.Get(handle);
      daemon->outliers.OnPoll(state->group, handle, true);
      const size_t seen =
          state->cache != nullptr ? state->cache->last_sequence() : 0;
      for (size_t i = std::max(first, seen); i < last; ++i) {
        daemon->table.OnCacheEvent(handle, m_engines[index].events[i]);
      }
    });
  }
  static EndpointHandle HandleOf(ModelDaemon* daemon, int index) {
    return daemon->table.Find("engine" + std::to_string(index));
  }

  void ScheduleArrival() {
    const double work =
        (kShortWorkS * (1 - kLongShare)) + (kLongWorkS * kLongShare);
    const double capacity =
        kModelEngines * kModelSlots / (work + kMeanPrefillS);
    const double rate = capacity * m_run.load(SinceStart());
    ScheduleAfter(Seconds(Exponential(1 / rate)), [this] {
      OnArrival();
      ScheduleArrival();
    });
  }

  void OnArrival() {
    Request& request = m_requests.emplace_back();
    const int id = static_cast<int>(m_requests.size()) - 1;
    request.arrived = m_now;
    request.outcome.arrived_s = SinceStart();
    request.daemon = m_daemons[m_random() % m_daemons.size()].get();
    const bool is_long = Uniform() < kLongShare;
    request.output = is_long ? OutputClass::kLong : OutputClass::kShort;
    request.outcome.work_s = Exponential(is_long ? kLongWorkS : kShortWorkS);
    request.work_left_s = request.outcome.work_s;
    request.outcome.is_small_customer = Uniform() < m_run.small_share;
    // Prefixes with low numbers are requested more often.
    request.prefix = static_cast<int>(kPrefixes * std::pow(Uniform(), 3));
    request.hashes = ModelEngine::PrefixHashes(request.prefix, kPrefixBlocks);
    request.prompt_tokens = (kPrefixBlocks * kPrefixBlockTokens) +
                            static_cast<uint32_t>(Exponential(500));
    Admit(id);
  }

  std::optional<Pick> Choose(const Request& request) {
    return request.daemon->choose({.group = "m",
                                   .prompt_tokens = request.prompt_tokens,
                                   .prefix_hashes = request.hashes,
                                   .output = request.output,
                                   .region = request.daemon->region,
                                   .failure_domain = request.daemon->domain,
                                   .avoid_endpoints = request.avoid});
  }

  void Admit(int id) {
    Request& request = m_requests[id];
    ModelDaemon& daemon = *request.daemon;
    const auto pick = Choose(request);
    const auto tokens =
        static_cast<int64_t>(request.outcome.work_s * kTokensPerWorkS) +
        request.prompt_tokens;
    const auto admission = daemon.limiter.Admit(
        request.outcome.is_small_customer ? "small" : "large", tokens,
        m_run.policy.has_fair_share && daemon.admission.is_under_pressure());
    const bool is_in_time = !m_run.policy.has_admission ||
                            (pick && daemon.admission.Admit(pick->estimate));
    if (!pick || !admission || !is_in_time) {
      if (admission) {
        daemon.limiter.Withdraw(*admission);
      }
      if (pick && is_in_time && m_run.policy.has_admission) {
        daemon.admission.OnWaitEnded();
      }
      request.outcome.is_refused = true;
      request.outcome.is_wrongly_refused =
          std::ranges::any_of(m_engines, [](const ModelEngine& engine) {
            return engine.is_alive && engine.running.size() < kModelSlots;
          });
      return;
    }
    daemon.limiter.Release(*admission);
    daemon.retries.OnFirstTry("m");
    daemon.retries.OnStreamOpened("m");
    request.first_estimate = pick->estimate;
    StartAttempt(id, *pick);
    ScheduleAfter(kDefaultClientTimeout, [this, id] { OnClientTimeout(id); });
  }

  void StartAttempt(int id, const Pick& pick) {
    Request& request = m_requests[id];
    request.pick = pick;
    request.attempt_started = m_now;
    ++request.outcome.attempts;
    ModelDaemon& daemon = *request.daemon;
    daemon.table.OnStarted(pick.endpoint, request.output);
    daemon.outliers.OnStarted(pick.group, pick.endpoint);
    request.engine =
        std::stoi(daemon.table.Get(pick.endpoint)->address.substr(6));
    request.job = std::make_shared<ModelJob>(ModelJob{id, false});
    const JobPtr job = request.job;
    if (!m_engines[request.engine].is_alive) {
      ScheduleAfter(kConnectTimeout, [this, job] {
        Fail(job, EndOutcome::kConnectFailed, RetryReason::kConnectFailed);
      });
      return;
    }
    ScheduleAfter(pick.link / 2, [this, job, engine = request.engine] {
      if (!job->is_ended) {
        m_engines[engine].waiting.push_back(job);
        StartJobs(engine);
      }
    });
    if (!HasFirstToken(request)) {
      const TimePoint deadline =
          StallDetector(m_now, pick.estimate - pick.queue, pick.queue)
              .Deadline();
      ScheduleAfter(deadline - m_now, [this, job] { CheckFirstToken(job); });
    }
  }

  static bool HasFirstToken(const Request& request) {
    return request.outcome.first_token_s >= 0;
  }

  void StartJobs(int index) {
    ModelEngine& engine = m_engines[index];
    while (engine.is_alive && engine.running.size() < kModelSlots &&
           !engine.waiting.empty()) {
      const JobPtr job = engine.waiting.front();
      engine.waiting.pop_front();
      engine.running.push_back(job);
      const Request& request = m_requests[job->request];
      const uint32_t cached = engine.UsePrefix(request.prefix, request.hashes)
                                  ? kPrefixBlocks * kPrefixBlockTokens
                                  : 0;
      const double prefill =
          (request.prompt_tokens - cached) / kPrefillTokensPerS;
      ScheduleAfter(Seconds(prefill), [this, job] { OnFirstToken(job); });
      ScheduleAfter(Seconds(prefill + request.work_left_s), [this, job] {
        if (!job->is_ended) {
          End(job, EndOutcome::kSuccess);
          m_requests[job->request].daemon->retries.OnStreamClosed("m");
        }
      });
    }
  }

  FirstTokenSample SampleOf(const Request& request) const {
    return {.wait = m_now - request.attempt_started,
            .estimated_wait = request.pick.estimate,
            .estimated_queue = request.pick.queue,
            .link = request.pick.link,
            .uncached_tokens = request.pick.uncached_tokens,
            .prefix_hashes = request.hashes};
  }

  void OnFirstToken(const JobPtr& job) {
    Request& request = m_requests[job->request];
    if (job->is_ended || request.outcome.is_failed) {
      return;
    }
    request.attempt_first_token_at = m_now;
    ModelDaemon& daemon = *request.daemon;
    daemon.table.OnFirstToken(request.pick.endpoint, SampleOf(request));
    daemon.outliers.OnFirstToken(request.pick.group, request.pick.endpoint);
    if (!HasFirstToken(request)) {
      request.outcome.first_token_s =
          std::chrono::duration<double>(m_now - request.arrived).count();
      EndWait(&request);
    }
  }

  void EndWait(Request* request) {
    AdmissionController& admission = request->daemon->admission;
    if (m_run.policy.has_admission) {
      admission.OnFirstToken(request->first_estimate, m_now - request->arrived);
      admission.OnWaitEnded();
    }
  }

  void CheckFirstToken(const JobPtr& job) {
    Request& request = m_requests[job->request];
    if (job->is_ended || HasFirstToken(request)) {
      return;
    }
    // Without retry budget the attempt continues: keeping its position in the
    // queue is better than returning an error.
    if (request.daemon->retries.TryRetry("m", RetryReason::kStalled)) {
      AbandonAttempt(job, request.daemon->table.ClassifyFirstTokenTimeout(
                              request.pick.endpoint));
      ScheduleRetry(job->request);
    }
  }

  /// Ends an attempt that has no token. Its wait so far is still reported as a
  /// sample, because it is a lower bound of the time to the first token.
  void AbandonAttempt(const JobPtr& job, EndOutcome outcome) {
    const Request& request = m_requests[job->request];
    FirstTokenSample sample = SampleOf(request);
    sample.prefix_hashes = {};
    sample.uncached_tokens = 0;
    request.daemon->table.OnFirstToken(request.pick.endpoint, sample);
    End(job, outcome);
  }

  void OnClientTimeout(int id) {
    Request& request = m_requests[id];
    if (!HasFirstToken(request) && !request.outcome.is_failed) {
      if (!request.job->is_ended) {
        AbandonAttempt(request.job, EndOutcome::kCancelled);
      }
      FailRequest(&request);
    }
  }

  void FailRequest(Request* request) {
    request->outcome.is_failed = true;
    request->daemon->retries.OnStreamClosed("m");
    if (!HasFirstToken(*request)) {
      EndWait(request);
    }
  }

  void Fail(const JobPtr& job, EndOutcome outcome, RetryReason reason) {
    Request& request = m_requests[job->request];
    if (job->is_ended) {
      return;
    }
    if (request.attempt_first_token_at > request.attempt_started) {
      const double done =
          std::chrono::duration<double>(m_now - request.attempt_first_token_at)
              .count();
      request.work_left_s = std::max(0.0, request.work_left_s - done);
    }
    End(job, outcome);
    RetryBudget& retries = request.daemon->retries;
    const bool is_allowed = HasFirstToken(request)
                                ? retries.TryResume("m", reason)
                                : retries.TryRetry("m", reason);
    if (!is_allowed) {
      FailRequest(&request);
      return;
    }
    ScheduleRetry(job->request);
  }

  void ScheduleRetry(int id) {
    Request& request = m_requests[id];
    request.avoid.push_back(request.pick.endpoint);
    const int retry = request.outcome.attempts - 1;
    ScheduleAfter(request.daemon->retries.Backoff(retry), [this, id] {
      Request& retried = m_requests[id];
      if (retried.outcome.is_failed) {
        return;
      }
      if (const auto pick = Choose(retried)) {
        StartAttempt(id, *pick);
      } else {
        FailRequest(&retried);
      }
    });
  }

  void End(const JobPtr& job, EndOutcome outcome) {
    job->is_ended = true;
    const Request& request = m_requests[job->request];
    ModelDaemon& daemon = *request.daemon;
    daemon.table.OnEnded(request.pick.endpoint, outcome, request.output,
                         m_now - request.attempt_first_token_at);
    daemon.outliers.OnEnded(request.pick.group, request.pick.endpoint, outcome);
    const bool is_cancelled = outcome != EndOutcome::kSuccess;
    ScheduleAfter(Seconds(is_cancelled ? m_run.cancel_lag_s : 0),
                  [this, job, index = request.engine] {
                    std::erase(m_engines[index].running, job);
                    std::erase(m_engines[index].waiting, job);
                    StartJobs(index);
                  });
  }

  void FailDomain() {
    for (int i = 0; i < kModelEngines; i += kModelDomains) {
      ModelEngine& engine = m_engines[i];
      engine.is_alive = false;
      std::vector<JobPtr> jobs = engine.running;
      jobs.insert(jobs.end(), engine.waiting.begin(), engine.waiting.end());
      for (const JobPtr& job : jobs) {
        ScheduleAfter(kMinStallTimeout, [this, job] {
          Fail(job, EndOutcome::kEarlyEnd, RetryReason::kEarlyEnd);
        });
      }
    }
  }

  const ModelRun& m_run;
  std::mt19937_64 m_random;
  const TimePoint m_start{std::chrono::hours(1)};
  TimePoint m_now = m_start;
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<ModelEngine> m_engines{kModelEngines};
  std::vector<std::unique_ptr<ModelDaemon>> m_daemons;
  std::deque<Request> m_requests;
};

}  // namespace

std::vector<RequestOutcome> RunModel(const ModelRun& run) {
  return PolicyModel(run).Run();
}

}  // namespace bramleybank
