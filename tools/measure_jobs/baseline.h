#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pomelomill/jobs.h"

namespace pomelomill {

enum class BaselineKind {
  /// Strict order of submission, first worker with room.
  kFirstInFirstOut,
  /// Urgent work first, best fit, later tasks may pass; no preemption.
  kBestFit,
};

/// A simple scheduler with declared sizes to measure against. It tries a task
/// again at once when it failed, without a limit, and takes a task whose start
/// had an unknown outcome as lost after a full lease.
class BaselineScheduler {
 public:
  explicit BaselineScheduler(BaselineKind kind) : kind_(kind) {}

  std::vector<JobAction> Handle(const JobEvent& event, Instant now);

 private:
  struct Task {
    JobId job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    bool is_urgent = false;
    Resources size;
    Duration run_time{};
    WorkerId worker;
    bool is_confirmed = false;
    Instant deadline = Instant::max();
  };
  struct Room {
    Resources free;
    std::vector<TaskId> tasks;
  };

  void End(const TaskId& id, bool is_requeued);
  void Place(Instant now, std::vector<JobAction>& actions);
  bool PlaceOne(Task& task, Instant now, std::vector<JobAction>& actions);

  BaselineKind kind_;
  std::deque<Task> urgent_;
  std::deque<Task> waiting_;
  std::map<TaskId, Task> running_;
  std::map<WorkerId, Room> rooms_;
  std::set<JobId> cancelled_;
  Instant renew_at_{};
};

}  // namespace pomelomill
