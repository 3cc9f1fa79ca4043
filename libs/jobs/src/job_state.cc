#include "pomelomill/jobs/job_state.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pomelomill/jobs/jobs_error.h"

namespace pomelomill {
namespace {

using nlohmann::json;

// Finished tasks as [first, count, first, count, ...].
json EncodeRanges(const std::vector<std::uint32_t>& indexes) {
  json ranges = json::array();
  for (std::size_t i = 0; i < indexes.size();) {
    std::size_t n = 1;
    while (i + n < indexes.size() && indexes[i + n] == indexes[i] + n) ++n;
    ranges.push_back(indexes[i]);
    ranges.push_back(n);
    i += n;
  }
  return ranges;
}

bool DecodeRanges(const json& ranges, std::uint32_t tasks,
                  std::vector<std::uint32_t>& indexes) {
  if (!ranges.is_array() || ranges.size() % 2 != 0) return false;
  for (std::size_t i = 0; i < ranges.size(); i += 2) {
    const auto first = ranges[i].get<std::uint64_t>();
    const auto n = ranges[i + 1].get<std::uint64_t>();
    if (first > tasks || n > tasks - first) return false;
    for (std::uint64_t k = 0; k < n; ++k)
      indexes.push_back(static_cast<std::uint32_t>(first + k));
  }
  return true;
}

// Bounds the memory that a damaged value can ask for.
constexpr std::uint32_t kMaxTasksOfJob = 1'000'000;

}  // namespace

std::string EncodeJobState(const JobState& state) {
  json jobs = json::array();
  for (const JobState::Job& it : state.jobs) {
    json progress = json::array();
    for (const auto& [i, done] : it.progress) {
      progress.push_back(i);
      // Tenths of a percent are enough to resume and keep the text short.
      progress.push_back(static_cast<int>(done * 1000));
    }
    jobs.push_back({it.id.value(), it.job_class, it.tasks, it.failures,
                    EncodeRanges(it.finished), std::move(progress)});
  }
  json quarantined = json::array();
  for (const WorkerId& it : state.quarantined)
    quarantined.push_back(it.value());
  json learned = json::array();
  for (const JobState::LearnedClass& it : state.learned)
    learned.push_back({it.job_class, static_cast<int>(it.size.cores * 1000),
                       static_cast<std::int64_t>(it.size.memory_mb),
                       ToMillis(it.run_time)});
  return json{{"epoch", state.epoch.value()},
              {"jobs", std::move(jobs)},
              {"quarantined", std::move(quarantined)},
              {"learned", std::move(learned)}}
      .dump();
}

Result<JobState> DecodeJobState(const std::string& text) {
  try {
    const json in = json::parse(text);
    JobState state;
    state.epoch = Epoch(in.at("epoch").get<std::uint64_t>());
    for (const json& it : in.at("jobs")) {
      JobState::Job job;
      job.id = JobId(it.at(0).get<std::string>());
      job.job_class = it.at(1).get<std::string>();
      job.tasks = it.at(2).get<std::uint32_t>();
      job.failures = it.at(3).get<std::uint32_t>();
      if (job.tasks > kMaxTasksOfJob ||
          !DecodeRanges(it.at(4), job.tasks, job.finished))
        return Unexpected(JobsError::kMalformedState);
      const json& progress = it.at(5);
      for (std::size_t i = 0; i + 1 < progress.size(); i += 2)
        job.progress.emplace(progress[i].get<std::uint32_t>(),
                             progress[i + 1].get<double>() / 1000);
      state.jobs.push_back(std::move(job));
    }
    for (const json& it : in.at("quarantined"))
      state.quarantined.emplace_back(it.get<std::string>());
    for (const json& it : in.at("learned")) {
      JobState::LearnedClass learned;
      learned.job_class = it.at(0).get<std::string>();
      learned.size.cores = it.at(1).get<double>() / 1000;
      learned.size.memory_mb = it.at(2).get<double>();
      learned.run_time =
          std::chrono::milliseconds(it.at(3).get<std::int64_t>());
      state.learned.push_back(std::move(learned));
    }
    return state;
  } catch (const json::exception&) {
    return Unexpected(JobsError::kMalformedState);
  }
}

}  // namespace pomelomill
