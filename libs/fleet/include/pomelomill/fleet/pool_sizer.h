#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "pomelomill/fleet/fleet_vm.h"
#include "pomelomill/fleet/wave_book.h"

namespace pomelomill {

/// What a pool's owner says of its demand.
struct PoolLoad {
  /// Cores in thousandths of the tasks that are placed, and of those that are
  /// ready and find no place.
  std::uint64_t running_cpu = 0;
  std::uint64_t waiting_cpu = 0;
  /// Workers on which nothing runs.
  std::vector<WorkerId> idle;
  /// Cores in thousandths used on workers that run little and nothing that
  /// lasts.
  std::map<WorkerId, std::uint32_t> light;
  Instant at{};
};

struct PoolSizerOptions {
  /// Cores wanted for each core of demand: places are never packed in full.
  double headroom = 1.25;
  /// The same for a pool that gives VMs to one in need: about what a full VM
  /// of 32 cores leaves unused between tasks of four cores.
  double giving_headroom = 1.1;
  /// Cores wanted besides for each core by which demand has grown within
  /// `trend_window`: it grows on while VMs are emptied and moved.
  double growth_ahead = 1.0;
  Duration trend_window = std::chrono::seconds(1);
  /// A pool keeps this many VMs, whatever its demand.
  std::uint32_t min_vms = 3;
  /// An older load says nothing.
  Duration load_lasts = std::chrono::milliseconds(1500);
  /// A worker that takes longer to be emptied stays. Below the time after
  /// which a pool's owner stops the tasks of a closed worker.
  Duration close_limit = std::chrono::milliseconds(2000);
  /// VMs beyond demand and this share of all VMs are parked in the spare pool
  /// after the pool had them for this long; a move costs as much as some
  /// seconds of a VM in a pool.
  double reserve_share = 0.17;
  Duration park_after = std::chrono::seconds(6);
  /// Share of all VMs that may be on their way at a time. A peak asks for half
  /// of them within seconds, and those that one pool has closed for the last
  /// peak still count when the next begins.
  double max_move_share = 0.7;
};

struct SizePlan {
  struct Close {
    PoolId pool;
    WorkerId worker;
  };
  struct Move {
    VmId vm;
    PoolId to;
  };

  std::vector<Close> closes;
  std::vector<Close> reopens;
  std::vector<Move> moves;
  /// VMs that were looked at, each as often as it was.
  std::uint64_t examined = 0;
};

/// Moves VMs to the pools whose demand exceeds what they hold, and parks those
/// that no pool needs. Idle ones are taken first, then those that run little;
/// these are moved once their tasks have ended.
///
/// Load pattern: each queue in turn asks for several times its mean for some
/// seconds, more than its pool holds, while the others are nearly idle.
class PoolSizer {
 public:
  explicit PoolSizer(const PoolSizerOptions& options = {})
      : options_(options) {}

  /// `blocked` are VMs that a maintenance wave has taken.
  void SetVms(const std::vector<FleetVm>& vms, const std::set<PoolId>& spare,
              const std::set<VmId>& blocked);
  void SetBlocked(const std::set<VmId>& blocked);
  void SetLoad(const PoolId& pool, const PoolLoad& load);
  void OnEmptied(const WorkerId& worker);
  void OnMoved(const VmId& vm, MaintainOutcome outcome, Instant now);

  SizePlan Plan(Instant now);

  /// VMs that are being closed or moved.
  std::set<VmId> taken() const;

 private:
  enum class Stage { kClosing, kAsked, kMoving };
  struct Taken {
    Stage stage = Stage::kClosing;
    PoolId from;
    PoolId to;
    WorkerId worker;
    Instant since{};
    /// The platform does not move it now.
    bool is_refused = false;
  };

  struct Load {
    PoolLoad load;
    std::set<WorkerId> idle;
    /// Demand within the trend window, the oldest first.
    std::deque<std::pair<Instant, double>> demand;
  };
  /// What one decision knows of a pool, kept up to date while it takes VMs.
  struct PoolCount {
    /// VMs that are or will be in the pool.
    std::uint32_t have = 0;
    /// VMs that its demand asks for; nothing without a fresh load.
    std::optional<std::uint32_t> need;
    /// The same while it gives VMs to others.
    std::optional<std::uint32_t> giving_need;
    /// VMs that it can do without: idle ones by id, those that run little by
    /// the cores they use. The next one to give is the last.
    std::vector<const FleetVm*> idle;
    std::vector<std::pair<std::uint32_t, const FleetVm*>> light;
  };
  struct Snapshot {
    std::map<PoolId, PoolCount> pools;
    /// By id, the first one last.
    std::vector<const FleetVm*> parked;
    std::uint64_t examined = 0;
  };

  Snapshot TakeSnapshot(Instant now) const;
  void AddDonor(const FleetVm& vm, Snapshot& snapshot) const;
  /// VMs that the pool's demand asks for, and those that it keeps while it
  /// gives some to others; nothing without a fresh load.
  void CountNeeds(const PoolId& pool, Instant now, PoolCount& count) const;
  std::uint32_t CpuOfVm() const;
  std::uint32_t ShareOfVms(double share) const;
  /// Removes a VM that `to` may have from the snapshot's lists; null when there
  /// is none.
  static const FleetVm* TakeDonor(const PoolId& to, Snapshot& snapshot);
  void Take(const FleetVm& vm, const PoolId& to, Instant now,
            Snapshot& snapshot, SizePlan& plan);
  void AdvanceTaken(Instant now, SizePlan& plan);
  /// Closed VMs whose new pool has enough by now go to another one or back.
  void RedirectTaken(Snapshot& snapshot, SizePlan& plan);
  /// The pool that holds the least part of what it needs; null when none
  /// needs more. A peak that begins goes before the headroom of one that lasts.
  static const PoolId* FindNeediest(const Snapshot& snapshot);
  void PlanGrowth(Instant now, Snapshot& snapshot, SizePlan& plan);
  void PlanParking(Instant now, Snapshot& snapshot, SizePlan& plan);

  PoolSizerOptions options_;
  std::map<VmId, FleetVm> vms_;
  std::set<PoolId> pools_;
  std::set<PoolId> spare_;
  std::set<VmId> blocked_;
  std::map<PoolId, Load> loads_;
  std::map<VmId, Taken> taken_;
  std::set<WorkerId> emptied_;
  /// Since when a pool has had more VMs than it needs.
  std::map<PoolId, Instant> surplus_since_;
};

}  // namespace pomelomill
