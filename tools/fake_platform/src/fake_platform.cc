#include "fake_platform.h"

#include <algorithm>

namespace pomelomill {
namespace {

/// Keeps the latest snapshot that is old enough to be shown and all later
/// ones.
template <typename Snapshots>
void DropOld(Snapshots& snapshots, Instant now, Duration lag) {
  while (snapshots.size() > 1 && snapshots[1].at + lag <= now) {
    snapshots.pop_front();
  }
}

/// The latest snapshot that is old enough; the first one before that.
template <typename Snapshots>
auto Shown(const Snapshots& snapshots, Instant now, Duration lag) {
  auto list = snapshots.empty() ? decltype(snapshots.front().list)()
                                : snapshots.front().list;
  for (const auto& snapshot : snapshots) {
    if (snapshot.at + lag <= now) list = snapshot.list;
  }
  return list;
}

}  // namespace

FakePlatform::FakePlatform(TimerService& timers, FakePlatformSettings settings,
                           EndpointHook endpoint)
    : timers_(timers), settings_(settings), endpoint_(std::move(endpoint)) {}

void FakePlatform::AddVm(const VmRecord& vm) {
  vms_[vm.id].record = vm;
  VmsChanged();
}

void FakePlatform::AddWorker(const WorkerRecord& worker) {
  workers_[worker.id].record = worker;
  WorkersChanged();
}

std::vector<VmRecord> FakePlatform::ListVms() const {
  return Shown(vm_snapshots_, timers_.Now(), settings_.list_lag);
}

Result<VmStatus> FakePlatform::GetVm(const VmId& vm) const {
  const auto it = vms_.find(vm);
  if (it == vms_.end()) return Unexpected(PlatformError::kNotFound);
  return VmStatus{.vm = it->second.record,
                  .intent = it->second.intent,
                  .operation = it->second.operation};
}

Status FakePlatform::Operate(const VmId& vm, VmOperation op,
                             const IntentId& intent, Generation generation) {
  const auto it = vms_.find(vm);
  if (it == vms_.end()) return Unexpected(PlatformError::kNotFound);
  Vm& target = it->second;
  if (target.accepted.contains({intent, op})) return {};
  if (target.record.generation != generation) {
    return Unexpected(PlatformError::kWrongGeneration);
  }
  if (target.is_lost || target.operation == OperationState::kRunning) {
    return Unexpected(PlatformError::kRefused);
  }
  target.accepted.insert({intent, op});
  target.intent = intent;
  effects_.push_back({vm, op, intent});
  ++target.course;
  switch (op) {
    case VmOperation::kDrain:
      target.operation = OperationState::kDone;
      target.record.listing = VmListing::kLeaving;
      SetMode(target, EndpointMode::kDraining);
      break;
    case VmOperation::kReboot:
    case VmOperation::kStop:
      target.operation = OperationState::kRunning;
      target.record.listing = VmListing::kLeaving;
      if (target.mode == EndpointMode::kUp) {
        SetMode(target, EndpointMode::kDraining);
      }
      LaterFor(vm, settings_.drain_time,
               op == VmOperation::kReboot ? &FakePlatform::TakeDown
                                          : &FakePlatform::TakeDownForGood);
      break;
    case VmOperation::kStart:
      target.operation = OperationState::kRunning;
      LaterFor(vm, settings_.reboot_time, &FakePlatform::BringBack);
      break;
  }
  VmsChanged();
  return {};
}

std::vector<WorkerRecord> FakePlatform::ListWorkers() const {
  return Shown(worker_snapshots_, timers_.Now(), settings_.usage_lag);
}

Status FakePlatform::StartTask(const WorkerId& worker, const TaskStart& task) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return Unexpected(PlatformError::kNotFound);
  Worker& target = it->second;
  const Resources used = Used(target);
  const Resources& room = target.record.capacity;
  if (target.is_lost || target.tasks.contains(task.task) ||
      used.cores + task.size.cores > room.cores ||
      used.memory_mb + task.size.memory_mb > room.memory_mb ||
      used.accelerators + task.size.accelerators > room.accelerators) {
    return Unexpected(PlatformError::kRefused);
  }
  const std::uint64_t run = next_run_++;
  target.tasks[task.task] = {
      .start = task, .lease_end = timers_.Now() + task.lease, .run = run};
  const Duration length =
      target.fails ? settings_.task_failure_time : task.run_time;
  timers_.ScheduleAfter(length, [this, worker, id = task.task, run] {
    EndTask(worker, id, run);
  });
  WatchLease(worker, task.task, run);
  WorkersChanged();
  return {};
}

Status FakePlatform::OperateTask(const WorkerId& worker, const TaskId& task,
                                 TaskOperation op) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || !it->second.tasks.contains(task)) {
    return Unexpected(PlatformError::kNotFound);
  }
  Task& target = it->second.tasks[task];
  switch (op) {
    case TaskOperation::kRenew:
      target.lease_end = timers_.Now() + target.start.lease;
      break;
    case TaskOperation::kCheckpoint:
      break;
    case TaskOperation::kThrottle:
      target.is_throttled = true;
      break;
    case TaskOperation::kStop:
      EndTask(worker, task, target.run);
      break;
  }
  WorkersChanged();
  return {};
}

Status FakePlatform::SetReturns(const VmId& vm, bool returns) {
  const auto it = vms_.find(vm);
  if (it == vms_.end()) return Unexpected(PlatformError::kNotFound);
  it->second.returns = returns;
  return {};
}

Status FakePlatform::SetListed(const VmId& vm, bool is_listed) {
  const auto it = vms_.find(vm);
  if (it == vms_.end()) return Unexpected(PlatformError::kNotFound);
  it->second.is_listed = is_listed;
  VmsChanged();
  return {};
}

Status FakePlatform::SetWorkerFails(const WorkerId& worker, bool fails) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return Unexpected(PlatformError::kNotFound);
  it->second.fails = fails;
  return {};
}

std::size_t FakePlatform::LoseRack(const RackId& rack) {
  return Lose([&](const VmRecord& vm) { return vm.rack == rack; },
              [&](const WorkerRecord& worker) { return worker.rack == rack; });
}

std::size_t FakePlatform::LoseZone(const ZoneId& zone) {
  return Lose([&](const VmRecord& vm) { return vm.zone == zone; },
              [&](const WorkerRecord& worker) { return worker.zone == zone; });
}

std::size_t FakePlatform::RestoreRack(const RackId& rack) {
  for (auto& [id, worker] : workers_) {
    if (worker.record.rack == rack) worker.is_lost = false;
  }
  return Restore([&](const VmRecord& vm) { return vm.rack == rack; });
}

std::size_t FakePlatform::RestoreZone(const ZoneId& zone) {
  for (auto& [id, worker] : workers_) {
    if (worker.record.zone == zone) worker.is_lost = false;
  }
  return Restore([&](const VmRecord& vm) { return vm.zone == zone; });
}

void FakePlatform::SetMode(Vm& vm, EndpointMode mode) {
  vm.mode = mode;
  if (endpoint_) endpoint_(vm.record.id, mode, vm.record.generation);
}

void FakePlatform::LaterFor(const VmId& id, Duration delay,
                            void (FakePlatform::*then)(Vm&)) {
  const std::uint64_t course = vms_[id].course;
  timers_.ScheduleAfter(delay, [this, id, course, then] {
    Vm& vm = vms_[id];
    if (vm.course != course) return;
    (this->*then)(vm);
    VmsChanged();
  });
}

void FakePlatform::TakeDown(Vm& vm) {
  SetMode(vm, EndpointMode::kDown);
  LaterFor(vm.record.id, settings_.reboot_time, &FakePlatform::BringBack);
}

void FakePlatform::TakeDownForGood(Vm& vm) {
  SetMode(vm, EndpointMode::kDown);
  vm.operation = OperationState::kDone;
}

void FakePlatform::BringBack(Vm& vm) {
  const bool is_operation = vm.operation == OperationState::kRunning;
  if (!vm.returns) {
    if (is_operation) vm.operation = OperationState::kFailed;
    return;
  }
  vm.record.generation = vm.record.generation.Next();
  vm.record.listing = VmListing::kLive;
  vm.is_lost = false;
  if (is_operation) vm.operation = OperationState::kDone;
  SetMode(vm, EndpointMode::kUp);
}

std::size_t FakePlatform::Lose(
    const std::function<bool(const VmRecord&)>& is_hit,
    const std::function<bool(const WorkerRecord&)>& is_hit_too) {
  std::size_t lost = 0;
  for (auto& [id, vm] : vms_) {
    if (vm.is_lost || !is_hit(vm.record)) continue;
    ++lost;
    ++vm.course;
    vm.is_lost = true;
    if (vm.operation == OperationState::kRunning) {
      vm.operation = OperationState::kFailed;
    }
    SetMode(vm, EndpointMode::kDown);
  }
  for (auto& [id, worker] : workers_) {
    if (!is_hit_too(worker.record)) continue;
    worker.is_lost = true;
    worker.tasks.clear();
  }
  VmsChanged();
  WorkersChanged();
  return lost;
}

std::size_t FakePlatform::Restore(
    const std::function<bool(const VmRecord&)>& is_hit) {
  std::size_t restored = 0;
  for (auto& [id, vm] : vms_) {
    if (!vm.is_lost || !is_hit(vm.record)) continue;
    ++restored;
    ++vm.course;
    LaterFor(id, settings_.reboot_time, &FakePlatform::BringBack);
  }
  WorkersChanged();
  return restored;
}

void FakePlatform::EndTask(const WorkerId& worker, const TaskId& task,
                           std::uint64_t run) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return;
  const auto found = it->second.tasks.find(task);
  if (found == it->second.tasks.end() || found->second.run != run) return;
  it->second.tasks.erase(found);
  WorkersChanged();
}

void FakePlatform::WatchLease(const WorkerId& worker, const TaskId& task,
                              std::uint64_t run) {
  const Instant end = workers_[worker].tasks[task].lease_end;
  timers_.ScheduleAt(end, [this, worker, task, run, end] {
    const auto& tasks = workers_[worker].tasks;
    const auto it = tasks.find(task);
    if (it == tasks.end() || it->second.run != run) return;
    if (it->second.lease_end > end) {
      WatchLease(worker, task, run);
    } else {
      EndTask(worker, task, run);
    }
  });
}

Resources FakePlatform::Used(const Worker& worker) const {
  Resources used;
  for (const auto& [id, task] : worker.tasks) {
    used.cores += task.start.size.cores;
    used.memory_mb += task.start.size.memory_mb;
    used.accelerators += task.start.size.accelerators;
  }
  return used;
}

void FakePlatform::VmsChanged() {
  Snapshot<VmRecord> snapshot{.at = timers_.Now(), .list = {}};
  for (const auto& [id, vm] : vms_) {
    if (vm.is_listed && !vm.is_lost) snapshot.list.push_back(vm.record);
  }
  if (!vm_snapshots_.empty() && vm_snapshots_.back().at == snapshot.at) {
    vm_snapshots_.pop_back();
  }
  vm_snapshots_.push_back(std::move(snapshot));
  DropOld(vm_snapshots_, timers_.Now(), settings_.list_lag);
}

void FakePlatform::WorkersChanged() {
  Snapshot<WorkerRecord> snapshot{.at = timers_.Now(), .list = {}};
  for (const auto& [id, worker] : workers_) {
    if (worker.is_lost) continue;
    WorkerRecord record = worker.record;
    record.usage = Used(worker);
    for (const auto& [task, unused] : worker.tasks) {
      record.tasks.push_back(task);
    }
    snapshot.list.push_back(std::move(record));
  }
  if (!worker_snapshots_.empty() &&
      worker_snapshots_.back().at == snapshot.at) {
    worker_snapshots_.pop_back();
  }
  worker_snapshots_.push_back(std::move(snapshot));
  DropOld(worker_snapshots_, timers_.Now(), settings_.usage_lag);
}

}  // namespace pomelomill
