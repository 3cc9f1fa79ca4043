#include <algorithm>
#include <map>
#include <set>

#include "checkers.h"
#include "text.h"

namespace pomelomill::faults {
namespace {

using testing::ProcessChange;
using testing::RunEnd;

/// True when the process was down or paused at some time in the interval.
bool WasAway(const Evidence& evidence, const std::string& process, Instant from,
             Instant to) {
  for (const ProcessRecord& it : evidence.processes) {
    if (it.name != process) continue;
    bool is_away = false;
    Instant away_since;
    for (const auto& event : it.events) {
      const bool is_leaving = event.change == ProcessChange::kCrash ||
                              event.change == ProcessChange::kPause;
      if (is_leaving) {
        if (!is_away) away_since = event.at;
        is_away = true;
      } else if (is_away) {
        if (away_since <= to && event.at >= from) return true;
        is_away = false;
      }
    }
    if (is_away && away_since <= to) return true;
  }
  return false;
}

/// The part of a task id that all attempts share: "JOB/INDEX@EPOCH.ATTEMPT".
std::string WithoutAttempt(const TaskId& task) {
  return task.value().substr(0, task.value().find('@'));
}

}  // namespace

Violations BudgetChecker::Check(const Evidence& evidence) const {
  std::set<std::string> lost;
  for (const auto& run : evidence.runs) {
    if (run.how == RunEnd::kLostWithVm) lost.insert(run.request.id);
  }
  struct Count {
    std::uint64_t all = 0;
    std::uint64_t good = 0;
  };
  std::map<QueueId, Count> counts;
  for (const CallerRequest& it : evidence.requests) {
    if (it.is_cancelled || it.sent + it.deadline > evidence.end) continue;
    // No system saves a request whose entry or VM has gone.
    if (WasAway(evidence, it.entry, it.sent, it.sent + it.deadline)) continue;
    if (lost.contains(it.id)) continue;
    Count& count = counts[it.queue];
    ++count.all;
    count.good += it.outcome == CallerOutcome::kAnswered &&
                  it.body == testing::EndpointBody(it.id) &&
                  it.answered <= it.sent + it.deadline;
  }
  Violations found;
  for (const auto& [queue, budget] : evidence.budgets) {
    const Count& count = counts[queue];
    if (count.all == 0) continue;
    const double share =
        static_cast<double>(count.good) / static_cast<double>(count.all);
    if (share < budget.availability) {
      found.push_back(Text("queue ", queue, " answered ", count.good, " of ",
                           count.all, " requests in time; the budget is ",
                           budget.availability));
    }
  }
  return found;
}

Violations ResponseChecker::Check(const Evidence& evidence) const {
  Violations found;
  for (const CallerRequest& it : evidence.requests) {
    if (it.responses > 1) {
      found.push_back(
          Text("request ", it.id, " got ", it.responses, " responses"));
    }
    // A complete 5xx of the endpoint is a response of its own.
    if (it.outcome == CallerOutcome::kAnswered &&
        it.body != testing::EndpointBody(it.id) &&
        it.body != testing::EndpointErrorBody(it.id)) {
      found.push_back(
          Text("request ", it.id, " was answered with \"", it.body, "\""));
    }
  }
  return found;
}

Violations NotRunChecker::Check(const Evidence& evidence) const {
  std::set<std::string> begun;
  for (const auto& run : evidence.runs) begun.insert(run.request.id);
  Violations found;
  for (const CallerRequest& it : evidence.requests) {
    if (it.outcome == CallerOutcome::kNotRun && begun.contains(it.id)) {
      found.push_back(
          Text("request ", it.id, " was reported as not run but has run"));
    }
  }
  return found;
}

Violations AtMostOnceChecker::Check(const Evidence& evidence) const {
  std::map<std::string, int> runs_of_id;
  std::map<std::string, int> runs_of_key;
  for (const auto& run : evidence.runs) {
    ++runs_of_id[run.request.id];
    if (!run.request.key.empty()) ++runs_of_key[run.request.key];
  }
  Violations found;
  for (const CallerRequest& it : evidence.requests) {
    if (!it.is_repeatable && runs_of_id[it.id] > 1) {
      found.push_back(
          Text("request ", it.id, " ran ", runs_of_id[it.id], " times"));
    }
  }
  for (const auto& [key, n] : runs_of_key) {
    if (n > 1) found.push_back(Text("key ", key, " ran ", n, " times"));
  }
  for (std::size_t i = 0; i < evidence.task_runs.size(); ++i) {
    const testing::TaskRun& a = evidence.task_runs[i];
    for (std::size_t j = i + 1; j < evidence.task_runs.size(); ++j) {
      const testing::TaskRun& b = evidence.task_runs[j];
      if (WithoutAttempt(a.task) == WithoutAttempt(b.task) &&
          b.start < a.end.value_or(evidence.end) &&
          a.start < b.end.value_or(evidence.end)) {
        found.push_back(Text("task ", a.task, " runs on ", a.worker, " and on ",
                             b.worker, " at ", AtText(b.start)));
      }
    }
  }
  return found;
}

}  // namespace pomelomill::faults
