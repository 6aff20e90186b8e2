// Endpoint state in the directory, and the choice of endpoints for requests.
#include <doctest/doctest.h>

#include "bramleybank/limits.h"
#include "endpoint_directory.h"
#include "endpoint_picker.h"

namespace bramleybank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EndpointEntry MakeEntry(const std::string& id,
                        const std::string& domain,
                        const std::string& address) {
  EndpointEntry entry;
  entry.id = id;
  entry.service = "writers";
  entry.address = address;
  entry.failure_domain = domain;
  entry.slots = 12;
  return entry;
}

/// A directory of `size` endpoints in each of the domains a, b and c.
struct Fixture {
  explicit Fixture(int size) {
    for (const std::string domain : {"a", "b", "c"}) {
      for (int i = 0; i < size; ++i) {
        const std::string id = domain + std::to_string(i);
        directory.Update(MakeEntry(id, domain, id + ":1"));
      }
    }
  }

  std::string Pick(const std::vector<std::string>& avoid = {}) {
    const EndpointRecord* record =
        picker
            .PickForAttempt(
                {.service = "writers", .avoid = &avoid, .is_stream = true})
            .endpoint;
    return record == nullptr ? "" : record->entry.id;
  }

  void Lose(const std::string& id) {
    directory.OnAttemptStarted(id);
    directory.OnAttemptEnded(id, EndpointOutcome::kLost);
  }

  TimePoint now{seconds(100)};
  EndpointDirectory directory{[this] { return now; }};
  uint64_t draws = 0;
  EndpointPicker picker{&directory,
                        nullptr,
                        {.failure_domain = "a",
                         .region = "ra",
                         .regions = {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}}},
                        [this] { return ++draws; }};
};

// Guards against sending requests to a crashed engine whose entry remains in
// the store until it expires. The new engine at the address refuses such
// requests.
TEST_CASE("a new entry at the same address supersedes the older one") {
  Fixture fixture(1);
  fixture.directory.Update(MakeEntry("new", "a", "a0:1"));
  CHECK_FALSE(fixture.directory.IsUsable(*fixture.directory.Find("a0")));
  CHECK(fixture.Pick() == "new");
}

// Guards against entries of another writer that take live endpoints out of use.
TEST_CASE("an entry of an unknown service supersedes no endpoint") {
  EndpointEntry foreign = MakeEntry("foreign", "a", "a0:1");
  foreign.service = "unknown";
  foreign.start_time_ms = 9;
  for (const bool comes_first : {false, true}) {
    CAPTURE(comes_first);
    Fixture fixture(1);
    if (comes_first) {
      fixture.directory.Update(foreign);
    }
    fixture.directory.SetServices({"writers"});
    fixture.directory.Update(foreign);
    CHECK(fixture.Pick() == "a0");
    EndpointEntry next = MakeEntry("next", "a", "a0:1");
    fixture.directory.Update(next);
    CHECK(fixture.Pick() == "next");
    fixture.directory.Remove("foreign");
    CHECK_FALSE(fixture.directory.IsUsable(*fixture.directory.Find("a0")));
    fixture.directory.Update(foreign);
    fixture.directory.SetServices({"writers", "unknown"});
    CHECK_FALSE(fixture.directory.IsUsable(*fixture.directory.Find("a0")));
    fixture.directory.Remove("foreign");
    CHECK(fixture.directory.IsUsable(*fixture.directory.Find("next")));
  }
}

TEST_CASE("a restored entry does not return an endpoint that left to service") {
  Fixture fixture(1);
  EndpointDirectory& directory = fixture.directory;
  EndpointEntry draining = MakeEntry("a0", "a", "a0:1");
  draining.state = EndpointState::kDraining;
  directory.Update(draining);
  directory.Remove("b0");

  directory.OnStoreRestored();
  for (const std::string id : {"a", "b", "c"}) {
    directory.Update(MakeEntry(id + "0", id, id + "0:1"));
  }
  CHECK_FALSE(directory.IsUsable(*directory.Find("a0")));
  CHECK_FALSE(directory.IsUsable(*directory.Find("b0")));
  CHECK(directory.IsUsable(*directory.Find("c0")));

  // Only an endpoint that renews its entry is still listed by then.
  fixture.now += kRestoredEntryExpiry;
  CHECK_FALSE(directory.IsUsable(*directory.Find("a0")));
  CHECK(directory.IsUsable(*directory.Find("b0")));

  EndpointEntry restarted = MakeEntry("a0", "a", "a0:1");
  restarted.start_time_ms = 5;
  directory.Update(restarted);
  CHECK(directory.IsUsable(*directory.Find("a0")));
}

TEST_CASE("an earlier start in a restored entry does not replace a later one") {
  Fixture fixture(1);
  EndpointDirectory& directory = fixture.directory;
  EndpointEntry later = MakeEntry("a0", "a", "a0:1");
  later.start_time_ms = 2;
  later.state = EndpointState::kDraining;
  directory.Update(later);
  directory.OnStoreRestored();
  EndpointEntry earlier = MakeEntry("a0", "a", "a0:1");
  earlier.start_time_ms = 1;
  directory.Update(earlier);
  CHECK_FALSE(directory.IsUsable(*directory.Find("a0")));
}

TEST_CASE("an older entry at an address does not end the endpoint there") {
  Fixture fixture(1);
  EndpointDirectory& directory = fixture.directory;
  EndpointEntry current = MakeEntry("current", "a", "shared:1");
  EndpointEntry older = MakeEntry("older", "a", "shared:1");
  for (const int64_t start_time_ms : {5, 0}) {
    CAPTURE(start_time_ms);
    current.start_time_ms = start_time_ms;
    older.start_time_ms = start_time_ms == 0 ? 0 : 1;
    directory.Update(current);
    directory.Update(older);
    // Without times of the starts, the last entry counts until it is gone.
    CHECK(directory.IsUsable(*directory.Find("current")) ==
          (start_time_ms > 0));
    directory.Remove("older");
    CHECK(directory.IsUsable(*directory.Find("current")));
  }
}

TEST_CASE("an endpoint that left stays out of service through more failures") {
  Fixture fixture(1);
  EndpointDirectory& directory = fixture.directory;
  // It expired in an outage, and was not registered again in time.
  directory.SetStoreLost(true);
  directory.Remove("a0");
  directory.SetStoreLost(false);
  fixture.now += kExpiredEntryGrace;
  for (int restores = 0; restores < 2; ++restores) {
    CAPTURE(restores);
    directory.OnStoreRestored();
    CHECK_FALSE(directory.IsUsable(*directory.Find("a0")));
    directory.Update(MakeEntry("a0", "a", "a0:1"));
    CHECK_FALSE(directory.IsUsable(*directory.Find("a0")));
    fixture.now += kRestoredEntryExpiry / 2;
  }
  directory.SetStoreLost(true);
  fixture.now += kRestoredEntryExpiry;
  CHECK_FALSE(directory.IsUsable(*directory.Find("a0")));
  directory.SetStoreLost(false);
  fixture.now += kRestoredEntryExpiry;
  CHECK(directory.IsUsable(*directory.Find("a0")));
}

TEST_CASE("an entry that a restored store lacks does not end the endpoint") {
  Fixture fixture(1);
  EndpointDirectory& directory = fixture.directory;
  directory.OnStoreRestored();
  directory.Remove("a0");
  CHECK(directory.IsUsable(*directory.Find("a0")));
  fixture.now += kExpiredEntryGrace;
  CHECK_FALSE(directory.IsUsable(*directory.Find("a0")));
}

TEST_CASE("an endpoint that starts again under its id is a new one") {
  Fixture fixture(1);
  fixture.directory.OnAttemptStarted("a0");
  fixture.directory.OnAttemptEnded("a0", EndpointOutcome::kMisdirected);
  CHECK_FALSE(fixture.directory.IsUsable(*fixture.directory.Find("a0")));
  EndpointEntry entry = MakeEntry("a0", "a", "a0:1");
  entry.start_time_ms = 5;
  fixture.directory.Update(entry);
  CHECK(fixture.directory.IsUsable(*fixture.directory.Find("a0")));
}

// Guards against sending requests to an endpoint that is leaving. An endpoint
// whose entry is removed while the store is available must not be used as a
// last resort, because a second attempt there can exceed a tight bound on the
// time to leave.
TEST_CASE("draining endpoints and endpoints that have left get no requests") {
  Fixture fixture(1);
  EndpointEntry draining = MakeEntry("a0", "a", "a0:1");
  draining.state = EndpointState::kDraining;
  fixture.directory.Update(draining);
  fixture.directory.Remove("b0");
  CHECK(fixture.Pick() == "c0");
  fixture.directory.Remove("c0");
  CHECK(fixture.Pick().empty());
  fixture.directory.Update(MakeEntry("b0", "b", "b0:1"));
  CHECK(fixture.Pick() == "b0");
}

// Guards against refusing callers because the entries of live endpoints expired
// during an outage of the store.
TEST_CASE("an endpoint whose entry expired in an outage is a last resort") {
  Fixture fixture(1);
  fixture.directory.SetStoreLost(true);
  fixture.directory.SetStoreLost(false);
  fixture.directory.Remove("b0");
  fixture.directory.Remove("c0");
  CHECK(fixture.Pick() == "a0");
  fixture.directory.Remove("a0");
  CHECK_FALSE(fixture.Pick().empty());
  fixture.now += kExpiredEntryGrace;
  CHECK(fixture.Pick().empty());
  fixture.directory.Remove("b0");
  CHECK(fixture.Pick().empty());
}

// Guards against sending streams to a failure domain that is failing.
TEST_CASE("two losses in a domain make it suspect, one does not") {
  Fixture fixture(3);
  fixture.Lose("a0");
  CHECK_FALSE(fixture.directory.IsDomainSuspect("writers", "a"));
  fixture.Lose("a1");
  CHECK(fixture.directory.IsDomainSuspect("writers", "a"));
  CHECK(fixture.Pick().front() != 'a');
  fixture.now += kLostDomainPause;
  CHECK(fixture.Pick() == "a2");
  // The lost endpoints restart with new ids; their old entries remain for
  // longer.
  CHECK(fixture.directory.IsSuspect(*fixture.directory.Find("a0")));
  fixture.now += kCrashedEndpointPause;
  CHECK_FALSE(fixture.directory.IsSuspect(*fixture.directory.Find("a0")));
}

// Guards against sending requests to a server that is about to stop while its
// entry still says that it is ready. Also guards against ignoring such a server
// after it has restarted.
TEST_CASE("an endpoint that announces that it is leaving gets no requests") {
  Fixture fixture(1);
  CHECK(fixture.directory.OnLeaving("a0"));
  CHECK_FALSE(fixture.directory.OnLeaving("a0"));
  for (int i = 0; i < 8; ++i) {
    const std::string id = fixture.Pick();
    CHECK(id != "a0");
    fixture.directory.OnAttemptStarted(id);
  }
  EndpointEntry entry = MakeEntry("a0", "a", "a0:1");
  fixture.directory.Update(entry);
  CHECK_FALSE(fixture.directory.IsUsable(*fixture.directory.Find("a0")));
  entry.start_time_ms = 17;
  fixture.directory.Update(entry);
  CHECK(fixture.directory.IsUsable(*fixture.directory.Find("a0")));
  CHECK_FALSE(fixture.directory.OnLeaving("unknown"));
}

// Guards against sending requests to full endpoints that have asked for a
// pause, also as a last resort.
TEST_CASE("an endpoint gets no requests during its pause") {
  Fixture fixture(1);
  fixture.directory.OnPause("a0", seconds(2));
  CHECK(fixture.Pick() != "a0");
  CHECK_FALSE(fixture.directory.RemainingPause("writers").has_value());
  fixture.directory.OnPause("b0", seconds(1));
  fixture.directory.OnPause("c0", seconds(3));
  CHECK(fixture.Pick().empty());
  CHECK(fixture.directory.RemainingPause("writers") == seconds(1));
  // A shorter pause that is requested later does not end a longer one.
  fixture.directory.OnPause("b0", milliseconds(10));
  fixture.now += milliseconds(999);
  CHECK(fixture.Pick().empty());
  fixture.now += milliseconds(1);
  CHECK(fixture.Pick() == "b0");
  CHECK_FALSE(fixture.directory.RemainingPause("writers").has_value());
}

// Guards against telling a caller to wait for an endpoint that is leaving.
TEST_CASE("the pause of a leaving endpoint is no reason to wait") {
  Fixture fixture(1);
  fixture.directory.OnPause("a0", seconds(1));
  fixture.directory.OnLeaving("a0");
  fixture.directory.OnLeaving("b0");
  fixture.directory.OnPause("c0", seconds(3));
  CHECK(fixture.directory.RemainingPause("writers") == seconds(3));
}

TEST_CASE("losses outside the time window do not make a domain suspect") {
  Fixture fixture(3);
  fixture.Lose("a0");
  fixture.now += kDomainLossWindow + milliseconds(1);
  fixture.Lose("a1");
  CHECK_FALSE(fixture.directory.IsDomainSuspect("writers", "a"));
}

// Guards against refusing all requests when every endpoint has failed once.
TEST_CASE("a suspect endpoint is used when there is no other") {
  Fixture fixture(1);
  fixture.Lose("a0");
  fixture.Lose("b0");
  fixture.Lose("c0");
  CHECK_FALSE(fixture.Pick().empty());
}

// Guards against overloading an endpoint when a burst of streams arrives at one
// gateway. The streams must spread over the near domain first and then over the
// others, and no endpoint may get many more than the mean.
TEST_CASE("streams spread by requests in flight, near before far") {
  Fixture fixture(4);
  std::map<std::string, int> open;
  for (int i = 0; i < 4; ++i) {
    const std::string id = fixture.Pick();
    CHECK(id.front() == 'a');
    fixture.directory.OnAttemptStarted(id);
    ++open[id];
  }
  for (int i = 4; i < 36; ++i) {
    const std::string id = fixture.Pick();
    fixture.directory.OnAttemptStarted(id);
    ++open[id];
  }
  CHECK(open.size() == 12);
  for (const auto& [id, count] : open) {
    CHECK(count >= 2);
    CHECK(count <= 4);
  }
}

TEST_CASE("a request is not sent to the same endpoint again") {
  Fixture fixture(1);
  CHECK(fixture.Pick({"a0", "b0"}) == "c0");
  CHECK(fixture.Pick({"a0", "b0", "c0"}).empty());
}

// Guards against losing a run and its copy in the same failure.
TEST_CASE("the copy of a run is never in the failure domain of the run") {
  Fixture fixture(4);
  const EndpointRecord* primary = fixture.directory.Find("b1");
  for (int i = 0; i < 20; ++i) {
    const EndpointRecord* backup = fixture.picker.PickForBackup(*primary);
    REQUIRE(backup != nullptr);
    CHECK(backup->entry.failure_domain != "b");
    fixture.directory.OnBackupOpened(backup->entry.id);
  }
  fixture.Lose("a0");
  fixture.Lose("a1");
  CHECK(fixture.picker.PickForBackup(*primary)->entry.failure_domain == "c");
}

// Guards against an answer that overtook others on its way and ends a limit
// that is in force.
TEST_CASE("a rate limit ends with an answer to a later request only") {
  Fixture fixture(1);
  const auto limit = [&] { return fixture.directory.Find("a0")->rate_limit; };
  CHECK(fixture.directory.OnRateLimit("a0", 5.9, fixture.now));
  CHECK_FALSE(fixture.directory.OnRateLimit("a0", 5.9, fixture.now));
  CHECK_FALSE(fixture.directory.OnNoRateLimit("a0", fixture.now - seconds(1)));
  CHECK(limit() == 5.9);
  fixture.now += seconds(1);
  CHECK(fixture.directory.OnNoRateLimit("a0", fixture.now));
  CHECK_FALSE(limit().has_value());
  CHECK_FALSE(fixture.directory.OnRateLimit("a0", 4, fixture.now - seconds(1)));
  CHECK_FALSE(fixture.directory.OnNoRateLimit("a0", fixture.now));
}

// Guards against a limit of an endpoint that is applied to its next
// incarnation.
TEST_CASE("a restarted endpoint has no rate limit") {
  Fixture fixture(1);
  fixture.directory.OnRateLimit("a0", 5.9, fixture.now);
  EndpointEntry restarted = MakeEntry("a0", "a", "a0:1");
  restarted.start_time_ms = 1;
  fixture.directory.Update(restarted);
  CHECK_FALSE(fixture.directory.Find("a0")->rate_limit.has_value());
}

// Guards against one request from each gateway of a large fleet when the entry
// of an endpoint with a limit returns after an outage of the store.
TEST_CASE("an endpoint whose entry returns still has its rate limit") {
  Fixture fixture(1);
  fixture.directory.OnRateLimit("a0", 5.9, fixture.now);
  fixture.directory.Remove("a0");
  fixture.now += seconds(kRemovedEndpointRetention) + seconds(10);
  fixture.directory.Update(MakeEntry("b0", "b", "b0:1"));
  fixture.directory.Update(MakeEntry("a0", "a", "a0:1"));
  CHECK(fixture.directory.Find("a0")->rate_limit == 5.9);
  fixture.directory.Remove("a0");
  fixture.now += seconds(kRateLimitRetention) + seconds(10);
  fixture.directory.Update(MakeEntry("b0", "b", "b0:1"));
  CHECK(fixture.directory.Find("a0") == nullptr);
}

}  // namespace
}  // namespace bramleybank
