// Checks the promises of the gateway against what callers and servers saw.
#ifndef BRAMLEYBANK_TESTS_SOAK_JUDGE_H_
#define BRAMLEYBANK_TESTS_SOAK_JUDGE_H_

#include <string>
#include <vector>

#include "soak_caller.h"

namespace bramleybank::testing {

/// Counts that show that a soak did something, and what broke.
struct SoakFindings {
  int answered = 0;
  int refused = 0;
  int lost = 0;
  int streams_whole = 0;
  int streams_resumed = 0;
  std::vector<std::string> broken;
};

/// @param record_path lines that the servers wrote, one a run.
/// @param events of a whole stream.
SoakFindings JudgeSoak(const std::vector<SoakOutcome>& outcomes,
                       const std::string& record_path,
                       size_t events);

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_SOAK_JUDGE_H_
