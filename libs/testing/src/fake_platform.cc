#include "pomelomill/testing/fake_platform.h"

#include <algorithm>
#include <utility>

#include "pomelomill/platform/platform_error.h"

namespace pomelomill::testing {
namespace {

std::string OperationName(VmOperation op) {
  switch (op) {
    case VmOperation::kDrain:
      return "drain";
    case VmOperation::kReboot:
      return "reboot";
    case VmOperation::kStop:
      return "stop";
    case VmOperation::kStart:
      return "start";
  }
  return "unknown";
}

std::string TaskOperationName(TaskOperation op) {
  switch (op) {
    case TaskOperation::kRenew:
      return "renew-task";
    case TaskOperation::kCheckpoint:
      return "checkpoint-task";
    case TaskOperation::kThrottle:
      return "throttle-task";
    case TaskOperation::kStop:
      return "stop-task";
  }
  return "unknown";
}

}  // namespace

FakePlatform::FakePlatform(VirtualTimerService& world, FaultInjector* injector)
    : world_(world),
      injector_(injector),
      transport_(world, injector),
      workers_(world) {}

PlatformClient FakePlatform::ClientFor(FakeProcess& process,
                                       StepName step_name) {
  if (!step_name) {
    step_name = [](const std::string& call) { return "platform." + call; };
  }
  const std::string name = process.name();
  // Runs `action` at the platform unless it is down.
  auto carry = [this, &process, step_name]<typename T>(
                   const std::string& call, Duration timeout,
                   std::function<void(Result<T>)> callback,
                   std::function<Result<T>()> action) {
    transport_.Carry<T>(
        process, step_name(call), timeout,
        make_error_code(PlatformError::kOutcomeUnknown),
        [this, action = std::move(action)](
            Fault, const std::function<void(Result<T>)>& respond) {
          if (is_down_) {
            respond(Unexpected(make_error_code(PlatformError::kUnavailable)));
            return;
          }
          respond(action());
        },
        std::move(callback));
  };

  PlatformClient client;
  client.list_vms = [this, carry](
                        Duration timeout,
                        PlatformCallback<std::vector<VmRecord>> callback) {
    carry.operator()<std::vector<VmRecord>>(
        "list-vms", timeout, std::move(callback),
        [this]() -> Result<std::vector<VmRecord>> { return LaggingList(); });
  };
  client.vm_status = [this, carry](const VmId& id, Duration timeout,
                                   PlatformCallback<VmStatus> callback) {
    carry.operator()<VmStatus>(
        "vm-status", timeout, std::move(callback),
        [this, id]() -> Result<VmStatus> {
          const auto it = vms_.find(id);
          if (it == vms_.end() || it->second.is_lost) {
            return Unexpected(make_error_code(PlatformError::kNotFound));
          }
          return VmStatus{it->second.record, it->second.intent,
                          it->second.operation};
        });
  };
  client.operate_vm = [this, carry, name](
                          const VmId& id, VmOperation op,
                          const IntentId& intent, Generation generation,
                          Duration timeout,
                          std::function<void(Status)> callback) {
    carry.operator()<void>(OperationName(op), timeout, std::move(callback),
                           [this, name, id, op, intent, generation] {
                             return Operate(name, id, op, intent, generation);
                           });
  };
  client.list_workers =
      [this, carry](Duration timeout,
                    PlatformCallback<std::vector<WorkerRecord>> callback) {
        carry.operator()<std::vector<WorkerRecord>>(
            "list-workers", timeout, std::move(callback),
            [this]() -> Result<std::vector<WorkerRecord>> {
              return workers_.List();
            });
      };
  client.start_task = [this, carry](const WorkerId& worker,
                                    const TaskStart& start, Duration timeout,
                                    std::function<void(Status)> callback) {
    carry.operator()<void>(
        "start-task", timeout, std::move(callback),
        [this, worker, start] { return workers_.Start(worker, start); });
  };
  client.operate_task = [this, carry](const WorkerId& worker,
                                      const TaskId& task, TaskOperation op,
                                      Duration timeout,
                                      std::function<void(Status)> callback) {
    carry.operator()<void>(TaskOperationName(op), timeout, std::move(callback),
                           [this, worker, task, op] {
                             return workers_.Operate(worker, task, op);
                           });
  };
  return client;
}

FakeEndpoint& FakePlatform::AddVm(const VmId& id, const ZoneId& zone,
                                  const RackId& rack, std::uint32_t slots) {
  Vm& vm = vms_[id];
  vm.record.id = id;
  vm.record.address = "127.0.0.1:" + std::to_string(9000 + vms_.size());
  vm.record.zone = zone;
  vm.record.rack = rack;
  vm.record.generation = Generation(1);
  vm.endpoint = std::make_unique<FakeEndpoint>(id, world_, injector_, slots);
  Changed();
  return *vm.endpoint;
}

std::vector<VmId> FakePlatform::vms() const {
  std::vector<VmId> ids;
  for (const auto& [id, vm] : vms_) ids.push_back(id);
  return ids;
}

std::vector<VmRecord> FakePlatform::CurrentList() const {
  std::vector<VmRecord> list;
  for (const auto& [id, vm] : vms_) {
    if (vm.is_listed) list.push_back(vm.record);
  }
  return list;
}

std::vector<VmRecord> FakePlatform::LaggingList() const {
  std::vector<VmRecord> list;
  for (const Snapshot& it : history_) {
    if (it.at <= world_.Now() - list_lag_ || list.empty()) list = it.vms;
  }
  if (distort_list) distort_list(list);
  return list;
}

void FakePlatform::Changed() {
  history_.push_back({world_.Now(), CurrentList()});
}

Status FakePlatform::Operate(const std::string& process, const VmId& id,
                             VmOperation operation, const IntentId& intent,
                             Generation generation) {
  PlatformOperation record{world_.Now(), process, id,    operation, intent,
                           generation,   {},      false, 0};
  const auto refuse = [&](PlatformError e) -> Status {
    record.outcome = make_error_code(e);
    operations_.push_back(record);
    return Unexpected(record.outcome);
  };
  const auto found = vms_.find(id);
  if (found == vms_.end() || found->second.is_lost) {
    return refuse(PlatformError::kNotFound);
  }
  Vm& vm = found->second;
  record.in_flight = vm.endpoint->active();
  auto& accepted = vm.accepted[intent];
  if (std::find(accepted.begin(), accepted.end(), operation) !=
      accepted.end()) {
    operations_.push_back(record);
    return {};
  }
  if (vm.record.generation != generation) {
    return refuse(PlatformError::kWrongGeneration);
  }
  accepted.push_back(operation);
  record.is_effective = true;
  operations_.push_back(record);
  vm.intent = intent;
  ++vm.boot;
  switch (operation) {
    case VmOperation::kDrain:
      vm.endpoint->set_draining(true);
      vm.record.listing = VmListing::kLeaving;
      vm.operation = OperationState::kDone;
      break;
    case VmOperation::kStop:
      vm.endpoint->Halt(RunEnd::kCutByStop);
      vm.is_listed = false;
      vm.operation = OperationState::kDone;
      break;
    case VmOperation::kReboot:
      vm.endpoint->Halt(RunEnd::kCutByStop);
      vm.record.listing = VmListing::kLeaving;
      vm.operation = OperationState::kRunning;
      Boot(id);
      break;
    case VmOperation::kStart:
      vm.operation = OperationState::kRunning;
      Boot(id);
      break;
  }
  Changed();
  return {};
}

void FakePlatform::Boot(const VmId& id) {
  world_.ScheduleAfter(boot_time_, [this, id, boot = vms_.at(id).boot] {
    Vm& vm = vms_.at(id);
    if (vm.boot != boot || vm.is_lost) return;
    if (!vm.returns) {
      vm.operation = OperationState::kFailed;
      return;
    }
    vm.record.generation = vm.record.generation.Next();
    vm.record.listing = VmListing::kLive;
    vm.is_listed = true;
    vm.operation = OperationState::kDone;
    vm.endpoint->Start(vm.record.generation);
    Changed();
  });
}

void FakePlatform::LoseVm(const VmId& id) {
  Vm& vm = vms_.at(id);
  if (vm.is_lost) return;
  vm.is_lost = true;
  vm.is_listed = false;
  vm.endpoint->Halt(RunEnd::kLostWithVm);
  Changed();
}

void FakePlatform::LoseRack(const RackId& rack) {
  for (const VmId& id : vms()) {
    if (vms_.at(id).record.rack == rack) LoseVm(id);
  }
  workers_.LoseRack(rack);
}

void FakePlatform::LoseZone(const ZoneId& zone) {
  for (const VmId& id : vms()) {
    if (vms_.at(id).record.zone == zone) LoseVm(id);
  }
  workers_.LoseZone(zone);
}

std::vector<EndpointRun> FakePlatform::AllRuns() const {
  std::vector<EndpointRun> all;
  for (const auto& [id, vm] : vms_) {
    const auto& runs = vm.endpoint->runs();
    all.insert(all.end(), runs.begin(), runs.end());
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const EndpointRun& a, const EndpointRun& b) {
                     return a.start < b.start;
                   });
  return all;
}

}  // namespace pomelomill::testing
