#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "pomelomill/dispatch/dispatcher.h"

namespace pomelomill {

struct PoolWorker {
  WorkerSpec spec;
  bool is_listed = false;
  bool is_silent = false;
  /// Being emptied for planned work.
  bool is_closed = false;
  /// A report under this owner's fencing token has arrived in this life.
  bool has_answered = false;
  /// So has one that lists all ends.
  bool has_reported = false;
  std::int64_t born_ms = 0;
  std::int64_t clock_ms = 0;
  Instant reported_at{};
  TaskSize used;
  std::set<TaskKey> tasks;
  /// Of them.
  std::uint32_t long_running_tasks = 0;
  /// Listed as running there, but of no job that is known: their sizes are
  /// unknown, so nothing is started beside them.
  std::set<std::pair<TaskKey, std::uint32_t>> strangers;
  std::uint64_t last_end = 0;
  /// Ends and the batch that must be stored before each is acknowledged.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> unstored;
  std::uint64_t ack_limit = 0;
  Instant blocked_until{};
  std::uint32_t failures_in_row = 0;
  std::set<JobId> failed_jobs;

  bool IsUsable(Instant now) const {
    return is_listed && has_reported && !is_silent && !spec.is_draining &&
           !is_closed && strangers.empty() && now >= blocked_until;
  }
  bool HasLabel(const std::string& label) const;
  bool Fits(const TaskSize& size) const;
  /// Whether the task would fit if the worker were empty.
  bool CanEverFit(const TaskSize& size) const;
};

/// The part of a task's size that counts against its worker's capacity.
TaskSize CountedSize(const StepSpec& step);

class WorkerTable {
 public:
  std::map<WorkerId, PoolWorker>& all() { return workers_; }
  const std::map<WorkerId, PoolWorker>& all() const { return workers_; }
  PoolWorker* Find(const WorkerId& id);
  const PoolWorker* Find(const WorkerId& id) const;
  PoolWorker& Get(const WorkerId& id) { return workers_[id]; }

  void Take(PoolWorker& worker, const TaskKey& key, const StepSpec& step);
  void Release(const WorkerId& id, const TaskKey& key, const StepSpec& step);

 private:
  std::map<WorkerId, PoolWorker> workers_;
};

}  // namespace pomelomill
