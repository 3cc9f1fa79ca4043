#include "job_acceptor.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

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

  Duration took() const { return ended.value_or(Instant::max()) - began; }
};

/// One acceptor in front of a store.
class AcceptorFixture {
 public:
  AcceptorFixture()
      : store(time),
        client(store.Client(time, faults)),
        acceptor(client, time,
              {.on_store_availability = [this](bool is_up) { availability_changes.push_back(is_up); }}) {}

  /// Hands in a job each 20 ms.
  void Run(Duration duration) {
    for (Duration left = duration; left > Duration(0);
         left -= milliseconds(20)) {
      const std::size_t n = requests.size();
      requests.push_back({.began = time.Now()});
      acceptor.Submit(JobId("j" + std::to_string(n)), {PoolId("p"), QueueId("q")},
                "{}", [this, n](AcceptOutcome outcome) {
                  requests[n].ended = time.Now();
                  requests[n].outcome = outcome;
                });
      time.Advance(milliseconds(20));
    }
  }

  VirtualTimerService time;
  StoreFaults faults;
  FakeKvStore store;
  TransactionClient client;
  std::vector<bool> availability_changes;
  JobAcceptor acceptor;
  std::vector<Request> requests;
};

}  // namespace

TEST_CASE("in a store outage new jobs are refused at once") {
  // Load pattern: a peak goes on while the store is away. Guards against
  // requests that are held for seconds although the store is known to be away:
  // their callers could ask another entry, or come back.
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
  // Those of the time until the outage is known: a transaction and a read.
  CHECK(held <= 70);
  CHECK(it.availability_changes == std::vector<bool>{false});
}

TEST_CASE("jobs are accepted again as soon as the store is back") {
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

TEST_CASE("one lost answer refuses nobody") {
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

TEST_CASE("a refused job was never sent") {
  // Guards against a false "not run": a job that may be stored is never
  // refused, and one that is refused is not in the store.
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

}  // namespace pomelomill
