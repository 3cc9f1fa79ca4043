#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "job_world.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Writes odd entries next to valid ones in each list that the entries follow.
void PutOddEntries(JobWorld& world, const std::string& value) {
  const PoolId pool("p0");
  for (const std::string& key :
       {std::string("servers/p0odd"), std::string("servers/\xff"),
        std::string("servers/"), std::string("cluster/members/odd"),
        std::string("cluster/owners/odd"), std::string("cluster/odd"),
        std::string("op/odd"), JobKey(pool, JobId("odd")),
        ProgressKey(pool, JobId("odd2")), CancelKey(pool, JobId("odd3")),
        PoolPrefix(pool) + "odd", std::string(kEvacuatedPrefix) + "odd",
        EvacuationKey(pool, WorkerId("odd"))})
    world.store().Put(key, value);
}

std::size_t CountEvents(const JobWorld& world, const std::string& part) {
  return static_cast<std::size_t>(std::count_if(
      world.events().begin(), world.events().end(), [&](const std::string& it) {
        return it.find(part) != std::string::npos;
      }));
}

std::size_t CountRuns(const JobWorld& world, const WorkerId& worker) {
  const auto& runs = world.workers().runs();
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(),
                    [&](const RunRecord& it) { return it.worker == worker; }));
}

}  // namespace

// Guards against an odd entry of another writer that ends the processes that
// read it or keeps them from following the list.
TEST_CASE("jobs complete while odd entries are written to all lists") {
  JobWorld world({});
  world.Advance(seconds(2));
  int jobs = 0;
  const auto submit = [&](int n) {
    for (; n > 0; --n, ++jobs) {
      world.Submit(static_cast<std::size_t>(jobs % 3),
                   "job" + std::to_string(jobs),
                   static_cast<std::size_t>(jobs % 2), ChainJob(2, 3));
    }
  };
  submit(4);
  std::string nested(100'000, '[');
  for (const std::string& value :
       {nested, nested + std::string(nested.size(), ']'), std::string("1e999"),
        std::string("\xff\xfe"), std::string(), std::string("{}"),
        std::string(R"({"phase":"running","tasks":[[4294967296,-1,1e300]]})"),
        std::string(R"({"peer":"e9:99999","zone":"","incarnation":""})")}) {
    PutOddEntries(world, value);
    world.Advance(milliseconds(300));
    submit(1);
  }
  // The list is still followed: a worker that leaves gets no more tasks, and a
  // new owner reads all the odd entries at once.
  world.ListWorker(world.worker(0, 0), true);
  world.Advance(seconds(2));
  const std::size_t runs = CountRuns(world, world.worker(0, 0));
  world.KillEntry(static_cast<std::size_t>(world.Owner(0)));
  world.Advance(seconds(2));
  for (std::size_t i = 0; i < 3; ++i)
    if (!world.is_running(i)) world.StartEntry(i);
  world.Advance(seconds(2));
  submit(4);
  world.Advance(seconds(25));
  INFO(world.History());
  for (int i = 0; i < jobs; ++i) {
    const std::string job = "job" + std::to_string(i);
    CAPTURE(job);
    CHECK(world.outcome(job) == AcceptOutcome::kAccepted);
    CHECK(world.Phase(job, static_cast<std::size_t>(i % 2)) == "complete");
  }
  CHECK(CountRuns(world, world.worker(0, 0)) == runs);
  CHECK(world.Violations().empty());
  CHECK(CountEvents(world, "workers bad-record") > 0);
  // One line for a key and a process, not one for each change.
  CHECK(CountEvents(world, "workers bad-record key=servers/p0odd") <= 6);
}

// Guards against a worker in the stored roster that no call reaches, for
// example because an earlier version took an odd entry for a worker: each new
// owner would await its report.
TEST_CASE("a worker in the roster that does not exist delays one takeover") {
  JobWorld world({});
  world.Advance(seconds(2));
  const std::string key = RosterKey(PoolId("p0"));
  std::string roster = world.store().Value(key);
  const std::string workers = R"("workers":{)";
  REQUIRE(roster.find(workers) != std::string::npos);
  roster.insert(roster.find(workers) + workers.size(),
                R"("odd":"10.0.0.1:99999999",)");
  world.store().Put(key, roster);
  const auto take_over = [&](const std::string& job, Duration wait) {
    const auto owner = static_cast<std::size_t>(world.Owner(0));
    world.KillEntry(owner);
    world.Advance(seconds(5));
    world.StartEntry(owner);
    world.Advance(seconds(1));
    world.Submit(owner, job, 0, ChainJob(1, 3));
    world.Advance(wait);
    INFO(world.History());
    CHECK(world.Phase(job, 0) == "complete");
  };
  take_over("first", seconds(30));
  CHECK(world.store().Value(key).find("odd") == std::string::npos);
  take_over("second", seconds(5));
  CHECK(world.Violations().empty());
}

}  // namespace pomelomill
