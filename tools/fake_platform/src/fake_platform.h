#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/platform.h"

namespace pomelomill {

enum class EndpointMode { kUp, kDraining, kDown };

struct FakePlatformSettings {
  /// Lists of VMs show the state of this long ago.
  Duration list_lag = std::chrono::seconds(2);
  /// Reported usage of workers is this old.
  Duration usage_lag = std::chrono::seconds(2);
  /// From the drain to the end of the endpoint process.
  Duration drain_time = std::chrono::milliseconds(500);
  /// From the end of the endpoint process to its return.
  Duration reboot_time = std::chrono::seconds(20);
  /// Time until a task fails on a worker that fails every task.
  Duration task_failure_time = std::chrono::milliseconds(500);
};

/// The platform's truth about VMs, workers and tasks, without the network.
/// Faults are set by functions; time comes from the timer service.
class FakePlatform {
 public:
  /// Tells the endpoint on a VM what to do.
  using EndpointHook =
      std::function<void(const VmId&, EndpointMode, Generation)>;

  FakePlatform(TimerService& timers, FakePlatformSettings settings,
               EndpointHook endpoint);

  void AddVm(const VmRecord& vm);
  void AddWorker(const WorkerRecord& worker);

  // The platform protocol.
  std::vector<VmRecord> ListVms() const;
  Result<VmStatus> GetVm(const VmId& vm) const;
  /// A repeat with the same intent and operation succeeds without a second
  /// effect. kWrongGeneration, kNotFound, kRefused while another operation
  /// runs.
  Status Operate(const VmId& vm, VmOperation op, const IntentId& intent,
                 Generation generation);
  std::vector<WorkerRecord> ListWorkers() const;
  /// kRefused when the worker lacks room or already has the task.
  Status StartTask(const WorkerId& worker, const TaskStart& task);
  Status OperateTask(const WorkerId& worker, const TaskId& task,
                     TaskOperation op);

  // Faults.
  /// Reboots and starts of this VM fail from now on, or no longer do.
  Status SetReturns(const VmId& vm, bool returns);
  /// Leaves the VM out of lists without any other effect.
  Status SetListed(const VmId& vm, bool is_listed);
  Status SetWorkerFails(const WorkerId& worker, bool fails);
  /// All VMs and workers of a rack or zone lose power; returns how many VMs.
  std::size_t LoseRack(const RackId& rack);
  std::size_t LoseZone(const ZoneId& zone);
  /// Starts the lost VMs of a rack or zone again, at a higher generation.
  std::size_t RestoreRack(const RackId& rack);
  std::size_t RestoreZone(const ZoneId& zone);

  /// Operations that had an effect, in order: VM, operation, intent.
  struct Effect {
    VmId vm;
    VmOperation op;
    IntentId intent;
  };
  const std::vector<Effect>& effects() const { return effects_; }

 private:
  struct Vm {
    VmRecord record;
    EndpointMode mode = EndpointMode::kUp;
    bool is_lost = false;
    bool returns = true;
    bool is_listed = true;
    IntentId intent;
    OperationState operation = OperationState::kNone;
    /// Raised by each change of course; timers of earlier ones do nothing.
    std::uint64_t course = 0;
    std::set<std::pair<IntentId, VmOperation>> accepted;
  };
  struct Task {
    TaskStart start;
    Instant lease_end{};
    bool is_throttled = false;
    std::uint64_t run = 0;
  };
  struct Worker {
    WorkerRecord record;
    bool fails = false;
    bool is_lost = false;
    std::map<TaskId, Task> tasks;
  };
  template <typename T>
  struct Snapshot {
    Instant at;
    std::vector<T> list;
  };

  void SetMode(Vm& vm, EndpointMode mode);
  /// Runs `then` after `delay` unless the VM changes its course before.
  void LaterFor(const VmId& id, Duration delay,
                void (FakePlatform::*then)(Vm&));
  void TakeDown(Vm& vm);
  void TakeDownForGood(Vm& vm);
  void BringBack(Vm& vm);
  std::size_t Lose(const std::function<bool(const VmRecord&)>& is_hit,
                   const std::function<bool(const WorkerRecord&)>& is_hit_too);
  std::size_t Restore(const std::function<bool(const VmRecord&)>& is_hit);
  void EndTask(const WorkerId& worker, const TaskId& task, std::uint64_t run);
  void WatchLease(const WorkerId& worker, const TaskId& task,
                  std::uint64_t run);
  Resources Used(const Worker& worker) const;
  void VmsChanged();
  void WorkersChanged();

  TimerService& timers_;
  FakePlatformSettings settings_;
  EndpointHook endpoint_;
  std::map<VmId, Vm> vms_;
  std::map<WorkerId, Worker> workers_;
  std::deque<Snapshot<VmRecord>> vm_snapshots_;
  std::deque<Snapshot<WorkerRecord>> worker_snapshots_;
  std::vector<Effect> effects_;
  std::uint64_t next_run_ = 1;
};

}  // namespace pomelomill
