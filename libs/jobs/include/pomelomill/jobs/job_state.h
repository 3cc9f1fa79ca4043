#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/platform/platform_client.h"

namespace pomelomill {

/// What a new control lease holder cannot learn from the workers: kept in one
/// value per region in the store. Which tasks run where is rebuilt from the
/// workers' own task lists.
struct JobState {
  struct Job {
    JobId id;
    std::string job_class;
    std::uint32_t tasks = 0;
    std::uint32_t failures = 0;
    /// Indexes of finished tasks, ascending.
    std::vector<std::uint32_t> finished;
    /// Checkpointed progress of unfinished tasks.
    std::map<std::uint32_t, double> progress;
  };
  struct LearnedClass {
    std::string job_class;
    Resources size;
    Duration run_time{};
  };

  Epoch epoch;
  /// In the order of submission.
  std::vector<Job> jobs;
  std::vector<WorkerId> quarantined;
  /// Only classes whose estimate differs from the declaration.
  std::vector<LearnedClass> learned;
};

/// Compact JSON text; finished tasks are written as ranges.
std::string EncodeJobState(const JobState& state);

/// JobsError::kMalformedState when the text is not a job state.
Result<JobState> DecodeJobState(const std::string& text);

}  // namespace pomelomill
