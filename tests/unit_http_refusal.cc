// Guards against refusals that lose a field, and against paths that bypass a
// non-idempotent route by a different spelling.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "http_path.h"
#include "http_refusal.h"

namespace bramleybank {
namespace {

TEST_CASE("a refusal carries every field") {
  const HttpRefusal refusal{.code = ResultCode::kOverloaded,
                            .message = "busy \xff",
                            .outcome = RefusalOutcome::kUnknown,
                            .position = 7,
                            .retry_after_s = 2};
  const auto error = nlohmann::json::parse(FormatRefusal(refusal)).at("error");
  CHECK(error.at("code") == 2003);
  CHECK(error.at("name") == "overloaded");
  CHECK(error.at("outcome") == "unknown");
  CHECK(error.at("position") == 7);
  CHECK(FindHeader(RefusalHeaders(refusal), "Retry-After") == "2");
}

TEST_CASE("different spellings of a path are normalized into the same path") {
  for (const char* spelling :
       {"/bookings/7", "//bookings/7", "/./bookings/7", "/x/../bookings/7",
        "/%62ookings/7", "/x/%2e%2e/bookings//7/", "/bookings%2F7"}) {
    CAPTURE(spelling);
    CHECK(NormalizePath(spelling) == "/bookings/7");
  }
  CHECK(NormalizePath("/../..") == "/");
  CHECK(PercentDecode("100%") == "100%");
}

TEST_CASE("a query is passed on as it was sent") {
  CHECK(FormatQuery({{"a", "1 2%20"}, {"flag", ""}}) == "?a=1+2%20&flag");
  CHECK(FormatQuery({}).empty());
}

}  // namespace
}  // namespace bramleybank
