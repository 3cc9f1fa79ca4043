#include "pomelomill/testing/fake_workers.h"

#include <cmath>

#include "pomelomill/platform/platform_error.h"

namespace pomelomill::testing {
namespace {

constexpr Duration kFailAfter = std::chrono::seconds(1);
constexpr Duration kCheckpointTime = std::chrono::seconds(1);

Status Refused(PlatformError e) { return Unexpected(make_error_code(e)); }

}  // namespace

void FakeWorkers::Add(const WorkerRecord& worker) {
  workers_[worker.id].record = worker;
}

void FakeWorkers::set_failing(const WorkerId& id, bool is_failing) {
  workers_.at(id).is_failing = is_failing;
}

void FakeWorkers::set_clock_rate(const WorkerId& id, double rate) {
  workers_.at(id).clock_rate = rate;
}

TaskRun* FakeWorkers::Running(const WorkerId& id, const TaskId& task) {
  for (TaskRun& it : runs_) {
    if (!it.end && it.worker == id && it.task == task) return &it;
  }
  return nullptr;
}

Resources FakeWorkers::Used(const WorkerId& id, Instant at) const {
  Resources used;
  for (const TaskRun& it : runs_) {
    if (it.worker != id || it.start > at || (it.end && *it.end <= at)) continue;
    used.cores += it.size.cores;
    used.memory_mb += it.size.memory_mb;
    used.accelerators += it.size.accelerators;
  }
  return used;
}

Status FakeWorkers::Start(const WorkerId& id, const TaskStart& start) {
  const auto it = workers_.find(id);
  if (it == workers_.end() || it->second.is_lost) {
    return Refused(PlatformError::kNotFound);
  }
  // The repeat of a start that was accepted has no second effect.
  if (Running(id, start.task)) return {};
  const Resources used = Used(id, world_.Now());
  const Resources& capacity = it->second.record.capacity;
  if (used.cores + start.size.cores > capacity.cores ||
      used.memory_mb + start.size.memory_mb > capacity.memory_mb ||
      used.accelerators + start.size.accelerators > capacity.accelerators) {
    return Refused(PlatformError::kRefused);
  }
  const std::size_t run = runs_.size();
  TaskRun record;
  record.worker = id;
  record.task = start.task;
  record.size = start.size;
  record.start = world_.Now();
  runs_.push_back(record);
  leases_.push_back(start.lease);
  SetLease(run, start.lease);
  const bool fails = it->second.is_failing || impossible_.contains(start.task);
  world_.ScheduleAfter(fails ? kFailAfter : start.run_time, [this, run, fails] {
    End(run, fails ? TaskEnd::kFailed : TaskEnd::kFinished);
  });
  return {};
}

void FakeWorkers::SetLease(std::size_t run, Duration lease) {
  const double rate = workers_.at(runs_[run].worker).clock_rate;
  const Duration length(static_cast<Duration::rep>(
      std::ceil(static_cast<double>(lease.count()) / rate)));
  runs_[run].lease_end = world_.Now() + length;
  world_.ScheduleAfter(length, [this, run] {
    // A renewal has scheduled its own timer.
    if (runs_[run].lease_end <= world_.Now()) End(run, TaskEnd::kLeaseLapsed);
  });
}

void FakeWorkers::End(std::size_t run, TaskEnd how) {
  if (runs_[run].end) return;
  runs_[run].end = world_.Now();
  runs_[run].how = how;
  if (on_end) on_end(TaskRun(runs_[run]));
}

Status FakeWorkers::Operate(const WorkerId& id, const TaskId& task,
                            TaskOperation op) {
  TaskRun* run = Running(id, task);
  if (!run) return Refused(PlatformError::kNotFound);
  const auto index = static_cast<std::size_t>(run - runs_.data());
  switch (op) {
    case TaskOperation::kRenew:
      SetLease(index, leases_[index]);
      break;
    case TaskOperation::kCheckpoint:
      if (run->checkpoints++ > 0) break;
      world_.ScheduleAfter(kCheckpointTime, [this, index] {
        End(index, TaskEnd::kCheckpointed);
      });
      break;
    case TaskOperation::kThrottle:
      run->is_throttled = true;
      break;
    case TaskOperation::kStop:
      End(index, TaskEnd::kStopped);
      break;
  }
  return {};
}

std::vector<WorkerRecord> FakeWorkers::List() const {
  const Instant at = world_.Now() - report_lag_;
  std::vector<WorkerRecord> list;
  for (const auto& [id, worker] : workers_) {
    if (worker.is_lost) continue;
    WorkerRecord record = worker.record;
    record.usage = Used(id, at);
    for (const TaskRun& it : runs_) {
      if (it.worker == id && it.start <= at && (!it.end || *it.end > at)) {
        record.tasks.push_back(it.task);
      }
    }
    list.push_back(std::move(record));
  }
  return list;
}

void FakeWorkers::Lose(const WorkerId& id) {
  workers_.at(id).is_lost = true;
  for (std::size_t i = 0; i < runs_.size(); ++i) {
    if (runs_[i].worker == id) End(i, TaskEnd::kLost);
  }
}

void FakeWorkers::LoseRack(const RackId& rack) {
  for (const auto& [id, worker] : workers_) {
    if (worker.record.rack == rack) Lose(id);
  }
}

void FakeWorkers::LoseZone(const ZoneId& zone) {
  for (const auto& [id, worker] : workers_) {
    if (worker.record.zone == zone) Lose(id);
  }
}

}  // namespace pomelomill::testing
