#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"

namespace pomelomill {

enum class VmListing { kLive, kLeaving };

/// One line of the platform's VM list, which lags behind the truth.
struct VmRecord {
  VmId id;
  /// "ip:port".
  std::string address;
  ZoneId zone;
  RackId rack;
  VmListing listing = VmListing::kLive;
  Generation generation;
};

enum class VmOperation { kDrain, kReboot, kStop, kStart };
enum class OperationState { kNone, kRunning, kDone, kFailed };

/// One VM with the state of its latest operation.
struct VmStatus {
  VmRecord vm;
  IntentId intent;
  OperationState operation = OperationState::kNone;
};

/// Cores, memory and accelerators, for sizes and for usage.
struct Resources {
  double cores = 0;
  double memory_mb = 0;
  double accelerators = 0;
};

/// One worker as the platform reports it; `usage` lags.
struct WorkerRecord {
  WorkerId id;
  RackId rack;
  ZoneId zone;
  Resources capacity;
  Resources usage;
  std::vector<TaskId> tasks;
};

/// A task that a worker is asked to start.
struct TaskStart {
  TaskId task;
  Resources size;
  Duration lease{};
  Duration run_time{};
};

enum class TaskOperation { kRenew, kCheckpoint, kThrottle, kStop };

template <typename T>
using PlatformCallback = std::function<void(Result<T>)>;

/// Calls on the platform. Each runs its callback exactly once, later, on the
/// caller's thread. A repeat of an operation with the same intent has no
/// second effect; a generation that is not the current one is refused.
struct PlatformClient {
  std::function<void(Duration timeout, PlatformCallback<std::vector<VmRecord>>)>
      list_vms;
  std::function<void(VmId, Duration timeout, PlatformCallback<VmStatus>)>
      vm_status;
  std::function<void(VmId, VmOperation, IntentId, Generation, Duration timeout,
                     std::function<void(Status)>)>
      operate_vm;
  std::function<void(Duration timeout,
                     PlatformCallback<std::vector<WorkerRecord>>)>
      list_workers;
  std::function<void(WorkerId, TaskStart, Duration timeout,
                     std::function<void(Status)>)>
      start_task;
  std::function<void(WorkerId, TaskId, TaskOperation, Duration timeout,
                     std::function<void(Status)>)>
      operate_task;
};

}  // namespace pomelomill
