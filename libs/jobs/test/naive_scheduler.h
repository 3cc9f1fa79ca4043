#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/jobs.h"

namespace pomelomill {

/// A worker with its room, as the test itself counts it.
struct NaiveWorker {
  Resources capacity;
  Resources held;
};

/// A waiting task.
struct NaiveTask {
  JobId job;
  TeamId team;
  std::uint64_t sequence = 0;
  bool is_urgent = false;
  Resources size;
};

struct NaiveTeam {
  double quota = 0;
  double weight = 1;
  double used = 0;
};

/// A scheduler without preemption that looks at every worker for every task
/// and remembers nothing: the reference of the differential test.
struct NaiveScheduler {
  std::map<std::string, NaiveWorker> workers;
  std::map<TeamId, NaiveTeam> teams;
  double urgent_cores = 0;
  double max_urgent_share = 0.8;

  double Capacity() const;
  /// Whether any worker has room for the task and the limit of urgent work
  /// allows it.
  bool IsPlaceable(const NaiveTask& task) const;
  /// Cores that the team may always have: all quotas are scaled down together
  /// when they add up to more than the capacity.
  double Quota(const TeamId& team) const;
  /// Share of its entitlement that a team holds.
  double Share(const TeamId& team) const;
  /// Whether `a` is served before `b`: urgent work first, by age; then teams
  /// with the smaller share; within a team by age.
  bool IsBefore(const NaiveTask& a, const NaiveTask& b) const;
  /// Counts the task as running on the worker.
  void Place(const NaiveTask& task, const std::string& worker);
  /// The first of the tasks, in order of service, that can be placed; nullptr
  /// when there is none.
  const NaiveTask* Next(const std::vector<NaiveTask>& waiting) const;
};

}  // namespace pomelomill
