#include <doctest/doctest.h>

#include "job_world.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kOccurrences = 6;

/// Plays jobs of two tasks that are due each second; the owner of their pool is
/// killed after some occurrences.
class TimedTakeover {
 public:
  TimedTakeover(const JobWorld::Options& options, std::size_t jobs)
      : world(options), jobs_(jobs) {
    world.Advance(seconds(3));
    for (std::size_t i = 0; i < jobs_; ++i) {
      JobSpec spec = ChainJob(1, 2);
      spec.occurrences = kOccurrences;
      spec.first_due_ms = ToMillis(world.now().time_since_epoch()) + 500 +
                          50 * static_cast<std::int64_t>(i);
      spec.interval = seconds(1);
      world.Submit(0, JobName(i), 0, spec);
    }
    world.Advance(milliseconds(2'800));
    former_ = world.Owner(0);
    REQUIRE(former_ >= 0);
  }

  /// Kills the owner; returns when the pool has another one.
  void KillOwner() {
    world.KillEntry(static_cast<std::size_t>(former_));
    while (world.Owner(0) == former_ || world.Owner(0) < 0)
      world.Advance(milliseconds(1));
  }

  /// Another time-out of the queues, which makes each owner plan.
  void ChangeConfig() { world.PutConfig(world.config()); }

  /// Lets the jobs end and checks that each of their tasks ran once.
  void Finish() {
    world.Advance(seconds(14));
    INFO(world.History());
    for (std::size_t i = 0; i < jobs_; ++i) {
      CAPTURE(i);
      CHECK(world.Phase(JobName(i), 0) == "complete");
    }
    CHECK(world.workers().runs().size() == jobs_ * kOccurrences * 2);
    for (const std::string& it : world.Violations()) {
      INFO(it);
      CHECK(false);
    }
  }

  JobWorld world;

 private:
  static std::string JobName(std::size_t i) { return "t" + std::to_string(i); }

  const std::size_t jobs_;
  int former_ = -1;
};

}  // namespace

TEST_CASE("tasks of timed jobs run once, whenever a new owner plans first") {
  // Guards against TWICE: the next owner acknowledged ends, and stopped runs,
  // of occurrences that its plan had not created yet.
  for (const int latency_ms : {2, 4, 9}) {
    for (int ms = 0; ms < 40; ms += 3) {
      CAPTURE(latency_ms);
      CAPTURE(ms);
      TimedTakeover it({}, 8);
      for (std::size_t i = 0; i < 3; ++i)
        it.world.store_faults(i).latency = milliseconds(latency_ms);
      it.KillOwner();
      it.world.Advance(milliseconds(ms));
      it.ChangeConfig();
      it.Finish();
    }
  }
}

TEST_CASE("runs of timed jobs that are at work at a takeover are kept") {
  // Guards against runs that are stopped as unknown and then started again.
  for (int ms = 0; ms < 40; ms += 5) {
    CAPTURE(ms);
    TimedTakeover it({.run_time = milliseconds(2'500)}, 2);
    it.KillOwner();
    it.world.Advance(milliseconds(ms));
    it.ChangeConfig();
    it.world.Advance(seconds(8));
    it.Finish();
  }
}

TEST_CASE("the new owner of timed jobs may have a slower clock") {
  // Guards against TWICE: an occurrence that the former owner had started was
  // not due yet for its successor.
  for (const int offset_ms : {-2'500, -700, 700, 2'500}) {
    CAPTURE(offset_ms);
    TimedTakeover it({.wall_offsets = {{0, milliseconds(offset_ms)},
                                       {1, milliseconds(-offset_ms)}}},
                     8);
    it.KillOwner();
    it.Finish();
  }
}

}  // namespace pomelomill
