// Checks of the gateway's guarantees.
#include "soak_checker.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "http_sse_parser.h"
#include "wire_names.h"

namespace bramleybank::testing {
namespace {

using nlohmann::json;

constexpr size_t kMaxEventBytes = 1 << 20;

/// Runs on all servers, by request id.
using Runs = std::map<std::string, std::vector<json>>;

Runs ReadRuns(const std::string& path) {
  Runs runs;
  std::ifstream in(path);
  for (std::string line; std::getline(in, line);) {
    const json run = json::parse(line, nullptr, /*allow_exceptions=*/false);
    // A killed server may leave an incomplete line.
    if (run.is_object()) {
      runs[run.at("request_id").get<std::string>()].push_back(run);
    }
  }
  return runs;
}

/// Checks single outcomes and collects the violations with their request ids.
class OutcomeChecker {
 public:
  OutcomeChecker(const Runs& runs, size_t events, SoakReport* report)
      : m_runs(runs), m_events(events), m_report(report) {}

  void Check(const SoakOutcome& outcome) {
    const auto it = m_runs.find(outcome.id);
    const size_t runs = it == m_runs.end() ? 0 : it->second.size();
    Count(outcome, runs);
    if (outcome.is_hung) {
      AddViolation(outcome, "the answer did not end within the timeout");
    }
    if (outcome.kind == SoakKind::kCall && runs > 1) {
      AddViolation(outcome, "a non-idempotent call ran more than once");
    }
    if (StatesNotRun(outcome.status) && runs > 0) {
      AddViolation(outcome, "answered as not run, but ran");
    }
    const bool is_denied =
        outcome.status == 400 || outcome.status == 401 ||
        (outcome.status == 404 && outcome.kind != SoakKind::kProbe);
    if (is_denied) {
      AddViolation(outcome, "a valid request was rejected");
    }
    if (outcome.status == 200) {
      CheckSuccess(outcome);
    }
  }

  void CheckRunsWereRequested(const std::set<std::string>& ids) {
    for (const auto& [id, runs] : m_runs) {
      if (!ids.contains(id) && !id.starts_with("probe-")) {
        m_report->violations.push_back(id + ": ran, but no caller sent it");
      }
      for (const json& run : runs) {
        if (run.at("customer") != "customer-1" ||
            run.at("authorization") != "") {
          m_report->violations.push_back(
              id + ": ran with a wrong customer, or with the caller's key");
        }
      }
    }
  }

 private:
  /// @returns whether a status guarantees that the request has not run.
  static bool StatesNotRun(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
  }

  void Count(const SoakOutcome& outcome, size_t runs) {
    const bool is_stream = outcome.kind == SoakKind::kStream;
    if (outcome.status == 200 && outcome.is_complete) {
      ++m_report->answered;
      m_report->streams_complete += is_stream ? 1 : 0;
      m_report->streams_resumed += is_stream && runs > 1 ? 1 : 0;
    } else {
      ++(outcome.status >= 400 ? m_report->refused : m_report->lost);
    }
  }

  void AddViolation(const SoakOutcome& outcome, const std::string& what) {
    m_report->violations.push_back(
        outcome.id + " at gateway " + std::to_string(outcome.gateway) + ": " +
        what + " (status " + std::to_string(outcome.status) + ")");
  }

  void CheckSuccess(const SoakOutcome& outcome) {
    const auto seal = FindHeader(outcome.headers, platform::kSealHeader);
    if (!seal || !seal->ends_with("." + outcome.id)) {
      AddViolation(outcome, "a success without the seal of its own request");
    }
    if (outcome.kind == SoakKind::kStream) {
      CheckEvents(outcome);
    } else if (outcome.is_complete &&
               outcome.body != "answer to " + outcome.id) {
      AddViolation(outcome, "a success with the body of another request");
    }
  }

  void CheckEvents(const SoakOutcome& outcome) {
    std::vector<std::string> events;
    SseParser parser(kMaxEventBytes, [&events](const SseEvent& event) {
      events.push_back(event.data);
    });
    parser.Feed(outcome.body);
    for (size_t i = 0; i < events.size(); ++i) {
      if (events[i] != outcome.id + " " + std::to_string(i + 1)) {
        AddViolation(outcome,
                     "event " + std::to_string(i + 1) + " is " + events[i]);
        return;
      }
    }
    if (outcome.is_complete && events.size() != m_events) {
      AddViolation(outcome, "ended as complete after event " +
                                std::to_string(events.size()));
    }
  }

  const Runs& m_runs;
  const size_t m_events;
  SoakReport* m_report;
};

/// Checks that no gateway serves the route of an older configuration version
/// after that of a newer one. The outcomes of each caller are in chronological
/// order.
void CheckNoOlderConfig(const std::vector<SoakOutcome>& outcomes,
                        SoakReport* report) {
  std::map<std::string, uint64_t> newest;
  for (const SoakOutcome& outcome : outcomes) {
    if (outcome.kind != SoakKind::kProbe || outcome.status != 200 ||
        outcome.incarnation < 0) {
      continue;
    }
    const std::string caller = outcome.id.substr(0, outcome.id.rfind('-'));
    uint64_t& seen = newest[caller + "@" + std::to_string(outcome.gateway) +
                            "." + std::to_string(outcome.incarnation)];
    if (outcome.probed_version < seen) {
      report->violations.push_back(outcome.id + ": route of configuration " +
                                   std::to_string(outcome.probed_version) +
                                   " served after " + std::to_string(seen));
    }
    seen = std::max(seen, outcome.probed_version);
  }
}

}  // namespace

SoakReport CheckSoakOutcomes(const std::vector<SoakOutcome>& outcomes,
                             const std::string& record_path,
                             size_t events) {
  SoakReport report;
  const Runs runs = ReadRuns(record_path);
  OutcomeChecker checker(runs, events, &report);
  std::set<std::string> ids;
  for (const SoakOutcome& outcome : outcomes) {
    ids.insert(outcome.id);
    checker.Check(outcome);
  }
  checker.CheckRunsWereRequested(ids);
  CheckNoOlderConfig(outcomes, &report);
  return report;
}

}  // namespace bramleybank::testing
