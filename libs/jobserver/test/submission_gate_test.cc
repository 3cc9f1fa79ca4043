#include "submission_gate.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "backlog_publisher.h"
#include "cluster_view.h"
#include "job_world.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Locations = Result<std::optional<JobLocation>>;

const QueueConfig kQueue{.id = QueueId("q0"),
                         .pool = PoolId("p0"),
                         .policy = {.max_attempts = 4, .stretch = 2}};
const JobId kJob("a");

/// A gate in front of a pool that is overloaded for minutes.
struct Gate {
  Gate() {
    backlog.cpu_millis = 1'000;
    backlog.urgent_core_ms = 300'000;
  }

  /// Decides on a job of 0.8 s; the answer of the store is in `reads`.
  void Decide() {
    gate.Decide(kJob, kQueue, ChainJob(1, 1),
                [this](const std::optional<Rejection>& it) {
                  ++answers;
                  rejection = it;
                });
  }

  VirtualTimerService timers;
  PoolBacklog backlog;
  bool may_become_stored = false;
  std::vector<StoreCallback<std::optional<JobLocation>>> reads;
  int answers = 0;
  std::optional<Rejection> rejection;
  SubmissionGate gate{
      timers,
      1,
      {.may_become_stored = [this](const JobId&) { return may_become_stored; },
       .find_location = [this](const JobId&,
                               auto done) { reads.push_back(std::move(done)); },
       .find_backlog = [this](const PoolId&) { return &backlog; },
       .count_entries = [] { return std::size_t{3}; }}};
};

/// Lets all jobs of the deployment be in time: late ones rank behind newcomers
/// and are no backlog.
void SetLongObjective(JobWorld& world) {
  FleetConfig config = world.config();
  for (QueueConfig& it : config.queues) it.policy.stretch = 500;
  world.PutConfig(std::move(config));
  world.Advance(seconds(3));
}

}  // namespace

// The following tests guard against a false rejection: 503 promises that the
// attempt never runs.

TEST_CASE("a job is rejected only after the store was found not to have it") {
  Gate it;
  it.Decide();
  CHECK(it.answers == 0);
  REQUIRE(it.reads.size() == 1);
  it.reads[0](Locations(std::nullopt));
  CHECK(it.answers == 1);
  REQUIRE(it.rejection);
  CHECK(it.rejection->reason == RejectReason::kNoUse);
}

TEST_CASE("a job that is stored is not rejected") {
  // A submission is repeated at another entry after 200 or a lost answer.
  Gate it;
  it.Decide();
  REQUIRE(it.reads.size() == 1);
  it.reads[0](Locations(JobLocation{kQueue.pool, kQueue.id}));
  CHECK(it.answers == 1);
  CHECK_FALSE(it.rejection);
}

TEST_CASE("a job is not rejected while the store does not answer") {
  Gate it;
  it.Decide();
  REQUIRE(it.reads.size() == 1);
  it.reads[0](Locations(Unexpected(StoreError::kUnavailable)));
  CHECK(it.answers == 1);
  CHECK_FALSE(it.rejection);
}

TEST_CASE("a job whose commit has no answer is not rejected") {
  Gate it;
  it.may_become_stored = true;
  it.Decide();
  CHECK(it.answers == 1);
  CHECK_FALSE(it.rejection);
  CHECK(it.reads.empty());
  // The commit ends as unknown while another attempt reads the store.
  it.may_become_stored = false;
  it.Decide();
  REQUIRE(it.reads.size() == 1);
  it.may_become_stored = true;
  it.reads[0](Locations(std::nullopt));
  CHECK(it.answers == 2);
  CHECK_FALSE(it.rejection);
}

TEST_CASE("a job is not rejected while it is being stored") {
  Gate it;
  it.gate.OnSubmitted(kJob);
  it.gate.OnSubmitted(kJob);
  it.gate.OnAnswered(kJob);
  it.Decide();
  CHECK(it.answers == 1);
  CHECK_FALSE(it.rejection);
  it.gate.OnAnswered(kJob);
  it.Decide();
  REQUIRE(it.reads.size() == 1);
  // Another attempt is submitted while this one reads the store.
  it.gate.OnSubmitted(kJob);
  it.reads[0](Locations(std::nullopt));
  CHECK(it.answers == 2);
  CHECK_FALSE(it.rejection);
}

TEST_CASE("a job that needs no cores now is not rejected") {
  Gate it;
  JobSpec service = ChainJob(1, 1);
  service.steps[0].is_long_running = true;
  it.gate.Decide(kJob, kQueue, service,
                 [&](const std::optional<Rejection>& rejection) {
                   ++it.answers;
                   it.rejection = rejection;
                 });
  CHECK(it.answers == 1);
  CHECK_FALSE(it.rejection);
}

TEST_CASE("a backlog record of a former owner is ignored") {
  // Guards against rejections by a backlog that nobody updates: after a
  // hand-over the former owner's lease, and with it the record, lives on.
  ClusterView view;
  const PoolId pool("p");
  PoolBacklog backlog;
  backlog.urgent_core_ms = 1'000;
  const std::string key = BacklogKey(pool);
  REQUIRE(view.Apply({.key = key,
                      .value = EncodeBacklog({FencingToken(7), backlog}),
                      .version = Version(9)},
                     Instant{}));
  CHECK(view.FindBacklog(pool) == nullptr);
  const std::string owner = EncodeOwner({EntryId("e"), IncarnationId("e.1")});
  REQUIRE(
      view.Apply({.key = OwnerKey(pool), .value = owner, .version = Version(7)},
                 Instant{}));
  REQUIRE(view.FindBacklog(pool) != nullptr);
  CHECK(*view.FindBacklog(pool) == backlog);
  REQUIRE(view.Apply(
      {.key = OwnerKey(pool), .value = owner, .version = Version(12)},
      Instant{}));
  CHECK(view.FindBacklog(pool) == nullptr);
  CHECK_FALSE(view.Apply({.key = key, .value = "{}", .version = Version(13)},
                         Instant{}));
}

TEST_CASE("the backlog of a lost owner ends and every job is admitted") {
  // Guards against an entry that rejects by the record of an owner that is
  // gone.
  JobWorld world({.is_calm = true});
  SetLongObjective(world);
  const int owner = world.Owner(0);
  REQUIRE(owner >= 0);
  const std::size_t other = owner == 0 ? 1 : 0;
  SubmissionGate gate(
      world.timers(), 1,
      {.may_become_stored = [](const JobId&) { return false; },
       .find_location = [](const JobId&,
                           const auto& done) { done(Locations(std::nullopt)); },
       .find_backlog = [&](const PoolId&) { return world.Backlog(other, 0); },
       .count_entries = [] { return std::size_t{3}; }});
  const auto is_rejected = [&] {
    bool result = false;
    gate.Decide(kJob, kQueue, ChainJob(1, 20),
                [&](const auto& rejection) { result = rejection.has_value(); });
    return result;
  };
  CHECK_FALSE(is_rejected());
  for (int i = 0; i < 40; ++i)
    world.Submit(other, "j" + std::to_string(i), 0, ChainJob(1, 12));
  world.Advance(seconds(1));
  INFO(world.History());
  REQUIRE_FALSE(world.store().Value(BacklogKey(PoolId("p0"))).empty());
  REQUIRE(world.Backlog(other, 0) != nullptr);
  CHECK(is_rejected());
  world.KillEntry(static_cast<std::size_t>(owner));
  // The entry's lease ends after 3 s.
  world.Advance(milliseconds(3'200));
  CHECK(world.store().Value(BacklogKey(PoolId("p0"))).empty());
  CHECK(world.Backlog(other, 0) == nullptr);
  CHECK_FALSE(is_rejected());
  // The next owner publishes its backlog once it knows its workers.
  world.Advance(seconds(6));
  CHECK(world.Owner(0) != owner);
  CHECK(world.Backlog(other, 0) != nullptr);
  world.Advance(seconds(120));
  CHECK(world.Backlog(other, 0) == nullptr);
  CHECK(world.store().Value(BacklogKey(PoolId("p0"))).empty());
  for (int i = 0; i < 40; ++i)
    CHECK(world.Phase("j" + std::to_string(i), 0) == "complete");
}

TEST_CASE("an entry without contact to the store admits every job") {
  // Guards against rejections by a view that is no longer current.
  JobWorld world({.is_calm = true});
  SetLongObjective(world);
  const int owner = world.Owner(0);
  REQUIRE(owner >= 0);
  const std::size_t other = owner == 0 ? 1 : 0;
  for (int i = 0; i < 60; ++i)
    world.Submit(other, "j" + std::to_string(i), 0, ChainJob(1, 12));
  world.Advance(seconds(1));
  REQUIRE(world.Backlog(other, 0) != nullptr);
  world.store_faults(other).is_cut = true;
  world.Advance(milliseconds(4'500));
  CHECK(world.Backlog(other, 0) == nullptr);
}

TEST_CASE("backlogs do not disturb the choice of owners") {
  // Guards against roles that move when a backlog is published.
  JobWorld world({.is_calm = true});
  SetLongObjective(world);
  const int owner = world.Owner(0);
  for (int i = 0; i < 30; ++i)
    world.Submit(0, "j" + std::to_string(i), 0, ChainJob(1, 12));
  world.Advance(seconds(60));
  CHECK(world.Owner(0) == owner);
  int published = 0;
  for (const std::string& it : world.events())
    published += it.find("owner backlog") != std::string::npos ? 1 : 0;
  CHECK(published >= 2);
  // A change of more than a quarter at a time, from 20 s to 0.3 s and back.
  CHECK(published <= 60);
}

}  // namespace pomelomill
