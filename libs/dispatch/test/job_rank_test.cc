#include "job_rank.h"

#include <doctest/doctest.h>

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns a job of three consecutive steps of two seconds each.
TrackedJob ChainOfThree() {
  auto spec = std::make_shared<JobSpec>();
  for (std::uint32_t s = 0; s < 3; ++s) {
    StepSpec step;
    step.tasks = 1;
    step.size = {.cpu_millis = 1'000, .memory_mb = 100};
    step.estimate = seconds(2);
    if (s > 0) step.after = {s - 1};
    spec->steps.push_back(step);
  }
  TrackedJob job;
  job.id = JobId("j");
  job.spec = spec;
  job.occurrences[0] = MakeOccurrence(job, 0);
  return job;
}

JobRank::Class ClassAt(Instant now) {
  const QueuePolicy policy{.stretch = 1.5, .target_latency = milliseconds(500)};
  return RankJob(ChainOfThree(), policy, seconds(2), now).job_class;
}

}  // namespace

TEST_CASE("the latency objective of a job covers all its steps") {
  // Guards against jobs of several steps that are ranked last although they can
  // meet their objective, because the objective was computed from the mean run
  // time of one task instead of the critical path.
  // The objective is 1.5 times 6 s plus 0.5 s.
  CHECK(ClassAt(Instant(seconds(0))) == JobRank::Class::kInTime);
  CHECK(ClassAt(Instant(seconds(3))) == JobRank::Class::kInTime);
  CHECK(ClassAt(Instant(seconds(4))) == JobRank::Class::kLate);
  // The last useful start is three objectives after acceptance less the
  // critical path; a job is urgent for the start margin before that time.
  CHECK(ClassAt(Instant(seconds(19))) == JobRank::Class::kLate);
  CHECK(ClassAt(Instant(seconds(21))) == JobRank::Class::kUrgent);
  CHECK(ClassAt(Instant(seconds(23))) == JobRank::Class::kExpired);
}

// Guards against a sum of estimates that overflows: callers may send any
// estimate, size and number of tasks.
TEST_CASE("a job of the longest estimates ranks after a usual one") {
  auto spec = std::make_shared<JobSpec>(*ChainOfThree().spec);
  for (StepSpec& it : spec->steps) {
    it.tasks = 5'000;
    it.size.cpu_millis = 4'294'967'295;
    it.estimate = milliseconds(3'000'000'000'000);
  }
  TrackedJob job;
  job.spec = spec;
  job.occurrences[0] = MakeOccurrence(job, 0);
  const QueuePolicy policy{.stretch = 1.5, .target_latency = milliseconds(500)};
  for (const double stretch : {1.5, 1e300}) {
    CAPTURE(stretch);
    const QueuePolicy it{.stretch = stretch,
                         .target_latency = milliseconds(500)};
    const Instant now(seconds(3));
    for (const Duration mean : {Duration(0), Duration(seconds(2))}) {
      const JobRank rank = RankJob(job, it, mean, now);
      CHECK(rank.job_class == JobRank::Class::kInTime);
      CHECK(rank > RankJob(ChainOfThree(), policy, seconds(2), now));
      CHECK(rank.key > 0);
    }
  }
}

}  // namespace pomelomill
