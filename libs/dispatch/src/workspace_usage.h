#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <utility>

#include "pomelomill/base/time.h"
#include "pomelomill/dispatch/dispatcher.h"

namespace pomelomill {

/// Returns the resources of a number of tasks.
ResourceAmount Times(const TaskSize& size, std::uint64_t tasks);

/// What one pool has placed of each workspace, the limits on it, and the part
/// of the pool that each workspace gets by its weight. Designed for a
/// workspace that sends a multiple of its usual load during a peak
/// that exceeds the pool, where one job of any workspace is wider than its
/// part, so that parts hold over some seconds and not at each moment. Jobs
/// without a workspace are not counted.
class WorkspaceUsage {
 public:
  void SetWeights(std::map<WorkspaceId, double> weights) {
    weights_ = std::move(weights);
  }
  void SetLimits(const WorkspaceId& workspace, const WorkspaceLimits& limits) {
    limits_[workspace] = limits;
  }
  void Add(const WorkspaceId& workspace, const TaskSize& size);
  void Remove(const WorkspaceId& workspace, const TaskSize& size);
  /// Sets the resources of tasks that are not placed but may still be started
  /// by an order that is carried out late.
  void SetHeld(std::map<WorkspaceId, ResourceAmount> held) {
    held_ = std::move(held);
  }

  /// Whether nothing of any workspace is placed or waiting.
  bool is_idle() const {
    return placed_.empty() && held_.empty() && waiting_.empty();
  }
  /// Whether `tasks` further tasks stay within the workspace's limit.
  bool MayPlace(const WorkspaceId& workspace, const TaskSize& size,
                std::uint64_t tasks) const;
  /// Returns how many of `tasks` ready tasks stay within the workspace's cap
  /// beside what is placed and `others`.
  std::uint64_t TasksWithinCap(const WorkspaceId& workspace,
                               const ResourceAmount& others,
                               const TaskSize& size, std::uint64_t tasks) const;

  /// Counts the start of a task that is expected to run for `run_time`.
  void Charge(const WorkspaceId& workspace, const TaskSize& size,
              Duration run_time, Instant now);
  /// Divides the pool's cores among the workspaces by weight. `waiting` are the
  /// ready tasks, `used` what all tasks of the pool use.
  void BeginPlan(std::map<WorkspaceId, ResourceAmount> waiting,
                 const ResourceAmount& capacity, const ResourceAmount& used,
                 Instant now);
  /// Returns how many times over the workspace has had twice its part of the
  /// cores lately, rounded down and at most 15; 0 when the pool has cores for
  /// all. A workspace goes before those with a higher result.
  std::uint32_t Excess(const WorkspaceId& workspace) const;

  /// What each workspace uses and waits for, as far as the pool has resources
  /// for it: a share of a cap is of no use beyond that.
  std::map<WorkspaceId, WorkspaceUse> uses() const;

 private:
  /// Brings the charges to the present.
  void Decay(Instant now);
  ResourceAmount Used(const WorkspaceId& workspace) const;
  double WeightOf(const WorkspaceId& workspace) const;
  /// Cores that the workspace has had lately, in thousandths.
  double RecentCpu(const WorkspaceId& workspace) const;

  std::map<WorkspaceId, double> weights_;
  std::map<WorkspaceId, WorkspaceLimits> limits_;
  std::map<WorkspaceId, ResourceAmount> placed_;
  std::map<WorkspaceId, ResourceAmount> held_;
  std::map<WorkspaceId, ResourceAmount> waiting_;
  /// Resources of the pool that were unused before the latest plan.
  ResourceAmount unused_;
  /// Sum of the cores in thousandths times the expected milliseconds of all
  /// tasks that were started; decays with kFairnessPeriod. As of `decayed_at_`.
  std::map<WorkspaceId, double> charges_;
  Instant decayed_at_{};
  /// Cores in thousandths for each unit of weight.
  double fair_level_ = std::numeric_limits<double>::infinity();
};

}  // namespace pomelomill
