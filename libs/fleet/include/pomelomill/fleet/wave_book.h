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

struct WaveBookOptions {
  /// Share of a pool's VMs that may be closed or down for maintenance at a
  /// time; at least one VM. More would make the pool's queues wait.
  double max_pool_share = 0.25;
  /// Part of a wave's duration after which it should be done, the rest being
  /// for VMs that come back late; a wave that is behind that takes VMs also
  /// while many move between pools.
  double planned_part = 0.6;
  /// A call that was refused is repeated after this time.
  Duration retry_after = std::chrono::milliseconds(400);
};

enum class MaintainOutcome {
  /// Accepted, or done before.
  kAccepted,
  /// Not now: the VM is not up.
  kBusy,
  /// The wave does not ask for this VM, or there is no such VM.
  kRefused,
  /// Without an answer the VM may go down later.
  kUnknown,
};

struct FleetPlan {
  struct Close {
    PoolId pool;
    WorkerId worker;
    WaveId wave;
  };
  struct Maintain {
    VmId vm;
    WaveId wave;
  };

  std::vector<Close> closes;
  /// Closed workers that take tasks again after all.
  std::vector<Close> reopens;
  std::vector<Maintain> maintains;
  /// Waves of which every VM that is left has been maintained.
  std::vector<WaveId> completed;
};

/// The maintenance waves under way. A VM is closed first, so that its tasks
/// can end or move, and maintained once its pool's owner reports it empty.
class WaveBook {
 public:
  explicit WaveBook(const WaveBookOptions& options = {}) : options_(options) {}

  /// `done` are the VMs that were maintained before.
  void SetWave(const MaintenanceWave& wave, const std::set<VmId>& done);
  void RemoveWave(const WaveId& wave);
  /// All VMs of the deployment; those of `spare` pools run no tasks.
  void SetVms(const std::vector<FleetVm>& vms, const std::set<PoolId>& spare);
  /// VMs that are up and being taken to another pool; they count as moving.
  void SetLeaving(const std::set<VmId>& leaving);
  /// The owner of the worker's pool says that nothing runs there and that
  /// nothing will be started.
  void OnEmptied(const WorkerId& worker);
  void OnMaintained(const WaveId& wave, const VmId& vm, MaintainOutcome outcome,
                    Instant now);

  FleetPlan Plan(Instant now);

  /// VMs of the wave that were maintained.
  std::set<VmId> Done(const WaveId& wave) const;
  bool has_open_waves() const;
  /// VMs that are closed or down for a wave.
  std::set<VmId> taken() const;

 private:
  enum class Stage {
    kPending,
    /// Its owner empties it.
    kClosing,
    /// The platform was asked to maintain it and has not answered.
    kAsked,
    /// Down until it is listed as up with another worker.
    kDown,
    kDone,
    /// The platform refuses it for good.
    kSkipped,
  };
  struct Entry {
    Stage stage = Stage::kPending;
    WorkerId worker;
    /// At the first call; another one now means that a call took effect.
    WorkerId first_asked;
    Instant retry_at{};
  };
  struct Wave {
    MaintenanceWave wave;
    std::map<VmId, Entry> vms;
    /// When it was first planned.
    std::optional<Instant> began;
    bool is_complete = false;
  };

  /// VMs of one pool in one decision.
  struct PoolCount {
    std::size_t size = 0;
    /// Taken for a wave or not up.
    std::size_t lost = 0;
    /// Of those that are lost.
    std::size_t moving = 0;
  };
  /// Counted once for each decision and kept up to date while it closes VMs.
  struct Snapshot {
    std::set<VmId> taken;
    std::map<PoolId, PoolCount> pools;
  };

  static bool IsTaken(const Entry& entry);
  const FleetVm* FindVm(const VmId& vm) const;
  FleetVmState StateOf(const FleetVm& vm) const;
  Snapshot TakeSnapshot() const;
  void Advance(Wave& wave);
  bool CountsAsDown(const VmId& vm, const Entry& entry) const;
  void PlanCloses(Wave& wave, Instant now, Snapshot& snapshot, FleetPlan& plan);
  bool IsBehind(const Wave& wave, Instant now) const;
  void PlanMaintains(Wave& wave, Instant now, FleetPlan& plan);
  void Reopen(const WaveId& wave, const VmId& vm);
  /// VMs on their way to the pool count as lost unless `is_behind`.
  bool MayLoseOne(const PoolCount& pool, bool is_behind) const;

  WaveBookOptions options_;
  std::map<WaveId, Wave> waves_;
  std::map<VmId, FleetVm> vms_;
  std::set<VmId> leaving_;
  std::set<PoolId> spare_;
  std::set<WorkerId> emptied_;
  std::vector<FleetPlan::Close> reopens_;
};

}  // namespace pomelomill
