#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pomelomill/fleet/fleet_vm.h"

namespace pomelomill {

struct WavePlannerOptions {
  /// Maximum share of a pool's VMs that may be closed, moving or down at a
  /// time when a wave closes another VM; at least one VM. A larger share would
  /// make tasks queue for a worker.
  double max_pool_share = 0.25;
  /// Share of a wave's duration within which all its VMs should have been
  /// closed; the rest is reserved for VMs that return late. A wave that is
  /// behind this schedule closes VMs even while many VMs are moving between
  /// pools.
  double planned_duration_share = 0.6;
  /// Delay before a maintenance call that was not accepted is repeated.
  Duration retry_after = std::chrono::milliseconds(400);
};

/// Actions that `WavePlanner` wants carried out.
struct WavePlan {
  struct WorkerClosure {
    PoolId pool;
    WorkerId worker;
    WaveId wave;
  };
  struct MaintenanceCall {
    VmId vm;
    WaveId wave;
  };

  /// Workers that must get no more tasks, so that they can be emptied.
  std::vector<WorkerClosure> workers_to_close;
  /// Closed workers that may get tasks again because their VM needs no
  /// maintenance any more.
  std::vector<WorkerClosure> workers_to_reopen;
  std::vector<MaintenanceCall> maintenance_calls;
  /// Waves in which every VM that still exists was maintained or refused.
  std::vector<WaveId> completed_waves;
};

/// Plans the maintenance waves of the job workers. A VM's worker is closed
/// first, so that its tasks can finish or move elsewhere; the VM is maintained
/// once the owner of its pool reports the worker as empty.
class WavePlanner {
 public:
  explicit WavePlanner(const WavePlannerOptions& options = {})
      : options_(options) {}

  /// Adds a wave of which the VMs in `maintained` need no maintenance any
  /// more. Does nothing when the wave is already known.
  void AddWave(const MaintenanceWave& wave, const std::set<VmId>& maintained);
  /// Forgets the wave; the next plan reopens the workers that it had closed.
  void RemoveWave(const WaveId& wave);
  /// Replaces the list of all VMs. VMs of `spare_pools` run no tasks, so they
  /// are maintained without being emptied.
  void SetVms(const std::vector<FleetVm>& vms,
              const std::set<PoolId>& spare_pools);
  /// Sets the VMs that `PoolSizer` is relocating. They count as moving even
  /// while the platform still lists them as up.
  void SetRelocatingVms(const std::set<VmId>& vms);
  /// The owner of the worker's pool reports that no task runs on the worker
  /// and that none will be started there.
  void OnWorkerEmptied(const WorkerId& worker);
  /// Handles the platform's answer to a `WavePlan::MaintenanceCall`.
  void OnMaintenanceAnswer(const WaveId& wave, const VmId& vm,
                           VmCallOutcome outcome, Instant now);

  /// Returns the actions to take now; each action is returned once.
  WavePlan Plan(Instant now);

  /// VMs of the wave whose maintenance was accepted or has ended; empty for an
  /// unknown wave.
  std::set<VmId> MaintainedVms(const WaveId& wave) const;
  bool has_open_waves() const;
  /// VMs that are closed or down for a wave.
  std::set<VmId> reserved_vms() const;

 private:
  enum class Stage {
    kPending,
    /// The worker is closed and being emptied.
    kClosing,
    /// The maintenance call has been made and not been answered.
    kRequested,
    /// Accepted; the VM is down until it is listed as up with a new worker.
    kDown,
    kDone,
    /// The platform has refused the maintenance for good.
    kSkipped,
  };
  struct VmProgress {
    Stage stage = Stage::kPending;
    WorkerId worker;
    /// The VM's worker at the first maintenance call that may have taken effect
    /// without an answer; empty when there was none. A different worker at a
    /// later call that is accepted shows that the earlier one has taken effect.
    WorkerId first_unanswered_worker;
    /// Earliest time of the next call; zero until a call has been answered or
    /// has timed out.
    Instant retry_at{};
  };
  struct WaveProgress {
    MaintenanceWave wave;
    std::map<VmId, VmProgress> vms;
    /// Time of the first plan that included the wave.
    std::optional<Instant> started_at;
    bool is_complete = false;
  };

  /// Number of VMs of one pool, by availability.
  struct PoolCount {
    std::size_t size = 0;
    /// VMs that are not up or are reserved for a wave.
    std::size_t unavailable = 0;
    /// Moving VMs, which are unavailable as well.
    std::size_t moving = 0;
  };
  /// Counts made once per plan and updated as the plan closes VMs.
  struct Snapshot {
    std::set<VmId> reserved_vms;
    std::map<PoolId, PoolCount> pools;
  };

  static bool IsReserved(const VmProgress& progress);
  const FleetVm* FindVm(const VmId& vm) const;
  /// The listed state, or `kMoving` for a VM that is being relocated.
  FleetVmState EffectiveState(const FleetVm& vm) const;
  Snapshot TakeSnapshot() const;
  /// Advances the VMs whose listed state or worker has changed.
  void UpdateProgress(WaveProgress& wave);
  bool CountsAsDown(const VmId& vm, const VmProgress& progress) const;
  void PlanClosures(WaveProgress& wave, Instant now, Snapshot& snapshot,
                    WavePlan& plan);
  /// Whether the wave has closed no more VMs than an even pace over its planned
  /// duration requires by `now`.
  bool IsBehindSchedule(const WaveProgress& wave, Instant now) const;
  void PlanMaintenanceCalls(WaveProgress& wave, Instant now, WavePlan& plan);
  void ReopenWorker(const WaveId& wave, const VmId& vm);
  /// Whether the pool may lose another VM. Moving VMs count as unavailable
  /// unless the wave `is_behind_schedule`.
  bool CanCloseAnotherVm(const PoolCount& pool, bool is_behind_schedule) const;

  WavePlannerOptions options_;
  std::map<WaveId, WaveProgress> waves_;
  std::map<VmId, FleetVm> vms_;
  std::set<VmId> relocating_vms_;
  std::set<PoolId> spare_pools_;
  std::set<WorkerId> emptied_workers_;
  std::vector<WavePlan::WorkerClosure> workers_to_reopen_;
};

}  // namespace pomelomill
