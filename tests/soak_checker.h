// Checks the gateway's guarantees against what callers and servers observed.
#ifndef BRAMLEYBANK_TESTS_SOAK_CHECKER_H_
#define BRAMLEYBANK_TESTS_SOAK_CHECKER_H_

#include <string>
#include <vector>

#include "soak_caller.h"

namespace bramleybank::testing {

/// Counts that show that a soak run exercised the gateway, and all violations.
struct SoakReport {
  int answered = 0;
  int refused = 0;
  int lost = 0;
  int streams_complete = 0;
  int streams_resumed = 0;
  std::vector<std::string> violations;
};

/// @param record_path file with one line per run, written by the servers.
/// @param events number of events of a complete stream.
SoakReport CheckSoakOutcomes(const std::vector<SoakOutcome>& outcomes,
                             const std::string& record_path,
                             size_t events);

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_SOAK_CHECKER_H_
