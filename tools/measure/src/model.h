#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pomelomill/base/decision_log.h"
#include "pomelomill/base/random.h"
#include "router_fleet.h"
#include "scenario.h"

namespace pomelomill::measure {

enum class Routing {
  /// One queue for each pool, earliest deadline first, any free slot; requests
  /// that would miss their deadline are shed.
  kEarliestDeadline,
  /// `libs/routing`, one router for each entry; see RouterFleet.
  kRouter,
  /// A random VM of the pool; each VM serves in the order of arrival.
  kRandom,
  /// The VM of the pool with the fewest requests, in the order of arrival.
  kLeastConnections,
};

enum class VmMode { kUp, kDraining, kDown, kLost, kStopped };

/// Why a VM drains.
enum class VmPurpose { kNone, kReboot, kMove, kStop };

struct ModelVm {
  VmId id;
  RackId rack;
  ZoneId zone;
  int pool = 0;
  VmMode mode = VmMode::kUp;
  VmPurpose purpose = VmPurpose::kNone;
  int target_pool = 0;
  double drain_since = 0;
  double ready_at = 0;
  double lost_at = 0;
  int busy = 0;
  /// Completions of earlier runs are ignored.
  int run = 0;
  /// Rises with each start, as in the region state.
  Generation generation{1};
  /// Requests that wait at this VM; not used with kEarliestDeadline.
  std::deque<int> waiting;
  std::set<int> running;
  bool is_maintained = false;
};

struct QueueResult {
  std::uint64_t arrived = 0;
  std::uint64_t missed = 0;
};

struct RunResult {
  std::vector<QueueResult> queues;
  /// Requests with a final outcome, and without one at the end of the run.
  std::uint64_t finished = 0;
  std::uint64_t open_at_end = 0;
  /// Why requests missed; with kRouter only.
  std::map<OutcomeReason, std::uint64_t> missed_by_reason;
  double up_vm_s = 0;
  double all_vm_s = 0;
  std::uint32_t moves = 0;
  std::uint64_t cut = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t store_calls = 0;
  double wave_end_s = -1;
  double first_estimate_s = -1;
  double longest_decision_s = 0;
};

/// The served system in virtual time: queues, slots, VMs. A policy acts on it
/// through the public operations.
class Model {
 public:
  Model(const Scenario& scenario, const std::vector<Request>& workload,
        Routing routing, std::vector<ModelVm> vms, std::uint64_t seed);

  /// Called every `interval` seconds of virtual time.
  std::function<void(Model&)> on_tick;
  /// Receives the decisions of the product's planner and wave scheduler.
  std::function<void(const Decision&)> on_decision;
  double tick_interval_s = 5;
  /// Seconds after which a draining VM is stopped with requests in flight;
  /// negative: never.
  double drain_timeout_s = -1;
  /// A request whose VM was lost is sent again, even when it must not be.
  bool repeats_everything = false;

  RunResult Run();

  double now() const { return now_; }
  bool is_store_up() const;
  const Scenario& scenario() const { return scenario_; }
  const std::vector<PoolId>& pools() const { return pools_; }
  const std::vector<QueueId>& queues() const { return queues_; }
  std::vector<ModelVm>& vms() { return vms_; }
  const std::vector<ModelVm>& vms() const { return vms_; }
  RunResult& result() { return result_; }
  const RunResult& result() const { return result_; }
  /// Requests a second of one queue since the last tick.
  double recent_rate(int queue) const { return recent_[queue]; }
  double cold_start(int pool) const { return cold_start_[pool]; }

  /// The region state that the entries act on from now on; kRouter only.
  void SetRegionState(const RegionState& state);

  void Drain(int vm, VmPurpose purpose, int target_pool);
  void Start(int vm);

 private:
  struct Completion {
    double at;
    int vm;
    int run;
    int request;
    bool operator<(const Completion& other) const { return at > other.at; }
  };
  struct Waiting {
    double deadline;
    int request;
    bool operator<(const Waiting& other) const {
      return deadline > other.deadline;
    }
  };

  void MakeRouters(std::uint64_t seed);
  VmAnswer Reach(const VmId& vm) const;
  void Arrive(int request);
  void Complete(const Completion& completion);
  void Tick();
  /// The rack or zone with most VMs in service; the loss of one that is
  /// stopped would show nothing.
  template <typename Id>
  Id MostUsed(Id ModelVm::*domain) const;
  /// Loses and returns the VMs of a rack and of a zone at the times that the
  /// scenario names.
  void LoseDomains();
  void Lose(ModelVm& vm);
  void Dispatch(int pool);
  void Begin(int vm, int request);
  void Pull(int vm);
  void Finish(int request, bool in_time);
  int PickVm(int pool);
  double DeadlineOf(int request) const;
  void Advance(int vm);

  const Scenario& scenario_;
  const std::vector<Request>& workload_;
  Routing routing_;
  std::vector<ModelVm> vms_;
  Random random_;
  std::vector<PoolId> pools_;
  std::vector<QueueId> queues_;
  std::vector<const QueueDeclaration*> declared_;
  std::vector<int> pool_of_queue_;
  std::vector<int> slots_;
  std::vector<double> cold_start_;
  std::vector<double> recent_;
  std::vector<std::uint64_t> tick_arrivals_;
  std::vector<std::priority_queue<Waiting>> waiting_;
  std::priority_queue<Completion> completions_;
  RackId lost_rack_;
  ZoneId lost_zone_;
  std::unique_ptr<RouterFleet> routers_;
  std::unordered_map<VmId, int> vm_index_;
  double now_ = 0;
  RunResult result_;
};

}  // namespace pomelomill::measure
