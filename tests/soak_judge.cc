// The promises, one function each.
#include "soak_judge.h"

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

/// Runs of all servers, by request.
using Runs = std::map<std::string, std::vector<json>>;

Runs ReadRuns(const std::string& path) {
  Runs runs;
  std::ifstream in(path);
  for (std::string line; std::getline(in, line);) {
    const json run = json::parse(line, nullptr, /*allow_exceptions=*/false);
    // A server that is killed may leave half a line.
    if (run.is_object()) {
      runs[run.at("request_id").get<std::string>()].push_back(run);
    }
  }
  return runs;
}

/// Collects what broke, with the request.
class Judge {
 public:
  Judge(const Runs& runs, size_t events, SoakFindings* findings)
      : m_runs(runs), m_events(events), m_findings(findings) {}

  void Check(const SoakOutcome& outcome) {
    const auto it = m_runs.find(outcome.id);
    const size_t runs = it == m_runs.end() ? 0 : it->second.size();
    Count(outcome, runs);
    if (outcome.is_hung) {
      Break(outcome, "no end of the answer");
    }
    if (outcome.kind == SoakKind::kCall && runs > 1) {
      Break(outcome, "a non-idempotent call ran more than once");
    }
    if (IsPromise(outcome.status) && runs > 0) {
      Break(outcome, "answered as not run, and ran");
    }
    const bool is_denied =
        outcome.status == 400 || outcome.status == 401 ||
        (outcome.status == 404 && outcome.kind != SoakKind::kProbe);
    if (is_denied) {
      Break(outcome, "a proper request was denied");
    }
    if (outcome.status == 200) {
      CheckSuccess(outcome);
    }
  }

  void CheckRunsWereAsked(const std::set<std::string>& ids) {
    for (const auto& [id, runs] : m_runs) {
      if (!ids.contains(id) && !id.starts_with("probe-")) {
        m_findings->broken.push_back(id + ": ran and was not sent");
      }
      for (const json& run : runs) {
        if (run.at("customer") != "customer-1" ||
            run.at("authorization") != "") {
          m_findings->broken.push_back(id + ": wrong customer, or a key");
        }
      }
    }
  }

 private:
  static bool IsPromise(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
  }

  void Count(const SoakOutcome& outcome, size_t runs) {
    const bool is_stream = outcome.kind == SoakKind::kStream;
    if (outcome.status == 200 && outcome.is_whole) {
      ++m_findings->answered;
      m_findings->streams_whole += is_stream ? 1 : 0;
      m_findings->streams_resumed += is_stream && runs > 1 ? 1 : 0;
    } else {
      ++(outcome.status >= 400 ? m_findings->refused : m_findings->lost);
    }
  }

  void Break(const SoakOutcome& outcome, const std::string& what) {
    m_findings->broken.push_back(
        outcome.id + " at gateway " + std::to_string(outcome.gateway) + ": " +
        what + " (status " + std::to_string(outcome.status) + ")");
  }

  void CheckSuccess(const SoakOutcome& outcome) {
    const auto mark = FindHeader(outcome.headers, platform::kSealHeader);
    if (!mark || !mark->ends_with("." + outcome.id)) {
      Break(outcome, "a success without the mark of its own request");
    }
    if (outcome.kind == SoakKind::kStream) {
      CheckEvents(outcome);
    } else if (outcome.is_whole && outcome.body != "answer to " + outcome.id) {
      Break(outcome, "a success with another body");
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
        Break(outcome, "event " + std::to_string(i + 1) + " is " + events[i]);
        return;
      }
    }
    if (outcome.is_whole && events.size() != m_events) {
      Break(outcome,
            "ended as whole after event " + std::to_string(events.size()));
    }
  }

  const Runs& m_runs;
  const size_t m_events;
  SoakFindings* m_findings;
};

/// A gateway that has served the route of a version may not serve that of an
/// older one later. Outcomes of one caller are in order of time.
void CheckNoOlderConfig(const std::vector<SoakOutcome>& outcomes,
                        SoakFindings* findings) {
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
      findings->broken.push_back(outcome.id + ": route of configuration " +
                                 std::to_string(outcome.probed_version) +
                                 " served after " + std::to_string(seen));
    }
    seen = std::max(seen, outcome.probed_version);
  }
}

}  // namespace

SoakFindings JudgeSoak(const std::vector<SoakOutcome>& outcomes,
                       const std::string& record_path,
                       size_t events) {
  SoakFindings findings;
  const Runs runs = ReadRuns(record_path);
  Judge judge(runs, events, &findings);
  std::set<std::string> ids;
  for (const SoakOutcome& outcome : outcomes) {
    ids.insert(outcome.id);
    judge.Check(outcome);
  }
  judge.CheckRunsWereAsked(ids);
  CheckNoOlderConfig(outcomes, &findings);
  return findings;
}

}  // namespace bramleybank::testing
