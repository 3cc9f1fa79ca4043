#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/virtual_timer_service.h"
#include "pomelomill/platform/platform_client.h"

namespace pomelomill::testing {

enum class TaskEnd {
  kRunning,
  kFinished,
  kFailed,
  kCheckpointed,
  kStopped,
  kLeaseLapsed,
  kLost,
};

/// One run of a task on a worker.
struct TaskRun {
  WorkerId worker;
  TaskId task;
  Resources size;
  Instant start;
  /// End of the lease in the time of the world, as the worker counts it.
  Instant lease_end;
  std::optional<Instant> end;
  TaskEnd how = TaskEnd::kRunning;
  std::uint32_t checkpoints = 0;
  bool is_throttled = false;
};

/// Workers that run tasks under leases. A checkpoint takes a second, after
/// which the task has ended.
class FakeWorkers {
 public:
  explicit FakeWorkers(VirtualTimerService& world) : world_(world) {}

  void Add(const WorkerRecord& worker);
  /// Every task on this worker fails after a second.
  void set_failing(const WorkerId& id, bool is_failing);
  /// This task fails on every worker.
  void set_impossible(const TaskId& id) { impossible_[id] = true; }
  /// The worker's clock runs at this rate; leases end by it.
  void set_clock_rate(const WorkerId& id, double rate);
  /// Reported usage and tasks are this old.
  void set_report_lag(Duration lag) { report_lag_ = lag; }
  void Lose(const WorkerId& id);
  void LoseRack(const RackId& rack);
  void LoseZone(const ZoneId& zone);

  Status Start(const WorkerId& id, const TaskStart& start);
  Status Operate(const WorkerId& id, const TaskId& task, TaskOperation op);
  std::vector<WorkerRecord> List() const;

  /// Called after a run has ended.
  std::function<void(const TaskRun&)> on_end;

  const std::vector<TaskRun>& runs() const { return runs_; }

 private:
  struct Worker {
    WorkerRecord record;
    bool is_failing = false;
    bool is_lost = false;
    double clock_rate = 1;
  };

  TaskRun* Running(const WorkerId& id, const TaskId& task);
  Resources Used(const WorkerId& id, Instant at) const;
  void SetLease(std::size_t run, Duration lease);
  void End(std::size_t run, TaskEnd how);

  VirtualTimerService& world_;
  Duration report_lag_{0};
  std::map<WorkerId, Worker> workers_;
  std::map<TaskId, bool> impossible_;
  std::vector<TaskRun> runs_;
  std::vector<Duration> leases_;
};

}  // namespace pomelomill::testing
