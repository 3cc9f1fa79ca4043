#include "job_acceptor.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/late_calls.h"
#include "pomelomill/base/virtual_timer_service.h"
#include "pomelomill/jobtesting.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Request {
  Instant began{};
  std::optional<Instant> ended;
  AcceptOutcome outcome = AcceptOutcome::kUnknown;
  JobLocation location;

  Duration took() const { return ended.value_or(Instant::max()) - began; }
};

/// Acceptor on a fake store with injectable faults.
class AcceptorFixture {
 public:
  AcceptorFixture()
      : store(time),
        client(store.Client(time, faults)),
        acceptor(client, time, {.on_store_availability = [this](bool is_up) {
                   availability_changes.push_back(is_up);
                 }}) {}

  void Submit(std::size_t n) {
    requests[n].began = time.Now();
    requests[n].ended.reset();
    acceptor.Submit(JobId("j" + std::to_string(n)), location, "{}",
                    [this, n](AcceptOutcome outcome, const JobLocation& it) {
                      requests[n].ended = time.Now();
                      requests[n].outcome = outcome;
                      requests[n].location = it;
                    });
  }

  /// Submits a job every 20 ms.
  void Run(Duration duration) {
    for (Duration left = duration; left > Duration(0);
         left -= milliseconds(20)) {
      const std::size_t n = requests.size();
      requests.emplace_back();
      Submit(n);
      time.Advance(milliseconds(20));
    }
  }

  VirtualTimerService time;
  StoreFaults faults;
  FakeKvStore store;
  TransactionClient client;
  std::vector<bool> availability_changes;
  JobAcceptor acceptor;
  JobLocation location{PoolId("p"), QueueId("q")};
  std::vector<Request> requests;
};

}  // namespace

TEST_CASE("in a store outage new jobs are refused at once") {
  // Load pattern: peak load continues during a store outage. Guards against
  // requests that are held for seconds although the store is known to be down;
  // their callers could use another entry or retry later.
  AcceptorFixture it;
  SUBCASE("connections are reset") { it.faults.is_resetting = true; }
  SUBCASE("calls get no answer") { it.faults.is_cut = true; }
  SUBCASE("calls are refused") { it.faults.is_turned_away = true; }
  it.Run(seconds(5));
  it.time.Advance(seconds(2));
  std::size_t held = 0;
  for (const Request& request : it.requests) {
    REQUIRE(request.ended);
    CHECK(request.outcome != AcceptOutcome::kAccepted);
    CHECK(request.took() <= milliseconds(1500));
    held += request.took() > milliseconds(10);
  }
  // Only jobs submitted before the outage is detected are held, for one commit
  // and one probe.
  CHECK(held <= 70);
  CHECK(it.availability_changes == std::vector<bool>{false});
}

TEST_CASE("jobs are accepted again within 150 ms of the store's recovery") {
  AcceptorFixture it;
  it.faults.is_resetting = true;
  it.Run(seconds(2));
  it.faults.is_resetting = false;
  it.time.Advance(milliseconds(150));
  const std::size_t first = it.requests.size();
  it.Run(seconds(1));
  it.time.Advance(seconds(1));
  for (std::size_t i = first; i < it.requests.size(); ++i)
    CHECK(it.requests[i].outcome == AcceptOutcome::kAccepted);
  CHECK(it.availability_changes == std::vector<bool>{false, true});
}

TEST_CASE("a single lost store response refuses no job") {
  AcceptorFixture it;
  it.Run(milliseconds(100));
  it.faults.loses_answers = true;
  it.Run(milliseconds(20));
  it.faults.loses_answers = false;
  it.Run(seconds(1));
  it.time.Advance(seconds(1));
  for (const Request& request : it.requests)
    CHECK(request.outcome == AcceptOutcome::kAccepted);
  CHECK(it.availability_changes.empty());
}

TEST_CASE("a refused job is never in the store") {
  // Guards against a false report that a job will not run: a job whose commit
  // had an unknown outcome must not be refused.
  AcceptorFixture it;
  it.faults.late = milliseconds(700);
  it.Run(milliseconds(300));
  it.faults.late = {};
  it.faults.is_cut = true;
  it.Run(seconds(3));
  it.faults.is_cut = false;
  it.time.Advance(seconds(5));
  for (std::size_t i = 0; i < it.requests.size(); ++i) {
    if (it.requests[i].outcome != AcceptOutcome::kRefused) continue;
    CAPTURE(i);
    CHECK(it.store.Value("ids/j" + std::to_string(i)).empty());
  }
}

TEST_CASE("a job that may be stored is not refused when it is sent again") {
  // Guards against REFUSED: the first submission was answered as unknown and
  // stands, and the second, in the outage that followed, is told that the job
  // never runs.
  AcceptorFixture it;
  it.faults.late = seconds(4);
  it.Run(milliseconds(40));
  it.time.Advance(seconds(2));
  it.faults.is_resetting = true;
  it.Run(seconds(1));
  for (std::size_t n : {0U, 1U}) {
    CAPTURE(n);
    REQUIRE(it.requests[n].outcome == AcceptOutcome::kUnknown);
    it.Submit(n);
    it.time.Advance(milliseconds(1'500));
    REQUIRE(it.requests[n].ended);
    CHECK(it.requests[n].outcome == AcceptOutcome::kUnknown);
  }
  it.faults = {};
  it.time.Advance(seconds(4));
  for (std::size_t n : {0U, 1U}) {
    it.Submit(n);
    it.time.Advance(milliseconds(500));
    CHECK(it.requests[n].outcome == AcceptOutcome::kAccepted);
  }
}

TEST_CASE("an absent job may become stored only while a commit can be late") {
  // Guards against callers that are told to come back for ever for a job that
  // was never stored.
  AcceptorFixture it;
  it.faults.is_cut = true;
  it.Run(milliseconds(20));
  it.time.Advance(seconds(3));
  REQUIRE(it.requests[0].outcome == AcceptOutcome::kUnknown);
  CHECK(it.acceptor.MayBecomeStored(JobId("j0")));
  CHECK_FALSE(it.acceptor.MayBecomeStored(JobId("other")));
  SUBCASE("until it is too late for the commit") {
    it.time.Advance(kLateCallLifetime);
  }
  SUBCASE("until the store has confirmed the job") {
    it.faults = {};
    it.time.Advance(seconds(1));
    it.Submit(0);
    it.time.Advance(milliseconds(500));
    REQUIRE(it.requests[0].outcome == AcceptOutcome::kAccepted);
  }
  CHECK_FALSE(it.acceptor.MayBecomeStored(JobId("j0")));
}

TEST_CASE("a repeated submission is told where the job is stored") {
  // Guards against a job that is looked up and cancelled in the pool to which
  // its queue has moved since its acceptance.
  AcceptorFixture it;
  it.Run(milliseconds(20));
  const JobLocation first = it.location;
  it.location.pool = PoolId("other");
  it.Submit(0);
  it.time.Advance(milliseconds(200));
  CHECK(it.requests[0].outcome == AcceptOutcome::kAccepted);
  CHECK(it.requests[0].location == first);
}

}  // namespace pomelomill
