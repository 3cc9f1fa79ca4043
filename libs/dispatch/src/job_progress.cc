#include "pomelomill/dispatch/job_progress.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "pomelomill/base/json_number.h"
#include "pomelomill/base/json_text.h"
#include "pomelomill/dispatch/dispatch_error.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;

constexpr std::array<JobPhase, 5> kPhases = {
    JobPhase::kQueued, JobPhase::kRunning, JobPhase::kComplete,
    JobPhase::kFailed, JobPhase::kCancelled};

/// Rows without crashed runs, and all rows of earlier versions, end before it.
constexpr std::size_t kCrashedRunsColumn = 6;

/// Whether a record in the phase kRunning proves that a task has run. Versions
/// that write no "begun" also stored that phase for starts that were refused;
/// a crashed run may be such a start.
bool IsProvenBegun(const JobProgress& progress, const Json& json) {
  if (json.value("begun", false)) return true;
  return std::any_of(progress.tasks.begin(), progress.tasks.end(),
                     [](const JobProgress::Task& it) {
                       return it.is_done || !it.failed_runs.empty() ||
                              !it.checkpoint.empty();
                     });
}

}  // namespace

const char* ToText(JobPhase phase) {
  switch (phase) {
    case JobPhase::kQueued:
      return "queued";
    case JobPhase::kRunning:
      return "running";
    case JobPhase::kComplete:
      return "complete";
    case JobPhase::kFailed:
      return "failed";
    case JobPhase::kCancelled:
      return "cancelled";
  }
  return "queued";
}

std::string EncodeJobProgress(const JobProgress& progress) {
  Json json = Json::object();
  json["phase"] = ToText(progress.phase);
  if (progress.phase == JobPhase::kRunning) json["begun"] = true;
  if (progress.ended_ms != 0) json["ended"] = progress.ended_ms;
  if (!progress.tasks.empty()) {
    Json& rows = json["tasks"] = Json::array();
    for (const JobProgress::Task& it : progress.tasks) {
      rows.push_back({it.occurrence, it.step, it.index, it.is_done,
                      it.failed_runs, it.checkpoint});
      if (it.crashed_runs.empty()) continue;
      rows.back().push_back(it.crashed_runs);
      rows.back().push_back(it.unfinished_run);
    }
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JobProgress> DecodeJobProgress(std::string_view text) {
  if (!IsJsonWithinDepth(text))
    return Unexpected(DispatchError::kMalformedRecord);
  try {
    const Json json = Json::parse(text);
    JobProgress progress;
    const std::string phase = json.at("phase").get<std::string>();
    bool is_known = false;
    for (const JobPhase it : kPhases) {
      if (phase != ToText(it)) continue;
      progress.phase = it;
      is_known = true;
    }
    if (!is_known) return Unexpected(DispatchError::kMalformedRecord);
    if (const auto it = json.find("ended"); it != json.end())
      progress.ended_ms = JsonMillis(*it);
    if (const auto rows = json.find("tasks"); rows != json.end()) {
      for (const Json& it : *rows) {
        progress.tasks.push_back(
            {.occurrence = JsonInteger<std::uint32_t>(it.at(0)),
             .step = JsonInteger<std::uint32_t>(it.at(1)),
             .index = JsonInteger<std::uint32_t>(it.at(2)),
             .is_done = it.at(3).get<bool>(),
             .failed_runs = JsonIntegers<std::uint32_t>(it.at(4)),
             .checkpoint = it.at(5).get<std::string>()});
        if (it.size() <= kCrashedRunsColumn) continue;
        progress.tasks.back().crashed_runs =
            JsonIntegers<std::uint32_t>(it.at(kCrashedRunsColumn));
        progress.tasks.back().unfinished_run =
            JsonInteger<std::uint32_t>(it.at(kCrashedRunsColumn + 1));
      }
    }
    if (progress.phase == JobPhase::kRunning && !IsProvenBegun(progress, json))
      progress.phase = JobPhase::kQueued;
    return progress;
  } catch (const Json::exception&) {
    return Unexpected(DispatchError::kMalformedRecord);
  }
}

}  // namespace pomelomill
