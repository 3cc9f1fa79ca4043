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

}  // namespace pomelomill
