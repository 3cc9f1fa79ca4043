#include "baseline.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

std::vector<JobAction> BaselineScheduler::Handle(const JobEvent& event,
                                                 Instant now) {
  std::vector<JobAction> actions;
  if (const auto* submitted = std::get_if<JobSubmitted>(&event)) {
    const JobClassDeclaration& c = submitted->job_class;
    for (std::uint32_t i = 0; i < submitted->tasks; ++i) {
      Task task;
      task.job = submitted->job;
      task.index = i;
      task.is_urgent = c.is_urgent;
      task.size = {static_cast<double>(c.cores),
                   static_cast<double>(c.memory_mb),
                   static_cast<double>(c.accelerators)};
      task.run_time = c.run_time;
      const bool is_first = c.is_urgent && kind_ == BaselineKind::kBestFit;
      (is_first ? urgent_ : waiting_).push_back(std::move(task));
    }
  } else if (const auto* listing = std::get_if<WorkersListed>(&event)) {
    std::set<WorkerId> listed;
    for (const WorkerRecord& w : listing->workers) {
      listed.insert(w.id);
      const auto [room, is_new] = rooms_.try_emplace(w.id);
      if (is_new) room->second.free = w.capacity;
    }
    std::vector<TaskId> gone;
    for (const auto& [id, room] : rooms_) {
      if (!listed.contains(id))
        gone.insert(gone.end(), room.tasks.begin(), room.tasks.end());
    }
    for (const TaskId& id : gone) End(id, true);
    std::erase_if(rooms_,
                  [&](const auto& r) { return !listed.contains(r.first); });
  } else if (const auto* cancel = std::get_if<JobsCancelled>(&event)) {
    cancelled_.insert(cancel->jobs.begin(), cancel->jobs.end());
    const auto is_cancelled = [&](const Task& t) {
      return cancelled_.contains(t.job);
    };
    std::erase_if(urgent_, is_cancelled);
    std::erase_if(waiting_, is_cancelled);
    for (const auto& [id, task] : running_) {
      if (is_cancelled(task))
        actions.emplace_back(
            OperateTask{task.worker, id, TaskOperation::kStop});
    }
  } else if (const auto* finish = std::get_if<TaskFinished>(&event)) {
    End(finish->task, false);
  } else if (const auto* fail = std::get_if<TaskFailed>(&event)) {
    End(fail->task, true);
  } else if (const auto* begin = std::get_if<TaskStarted>(&event)) {
    const auto found = running_.find(begin->task);
    if (found != running_.end()) found->second.is_confirmed = true;
  } else if (const auto* call = std::get_if<TaskCallEnded>(&event)) {
    const auto found = running_.find(call->task);
    if (found != running_.end()) {
      if (call->outcome == CallOutcome::kRefused) End(call->task, true);
      if (call->outcome == CallOutcome::kUnknown &&
          call->call == TaskCall::kStart && !found->second.is_confirmed)
        found->second.deadline = now + LongestLease({});
    }
  } else if (std::holds_alternative<Tick>(event)) {
    std::vector<TaskId> lost;
    for (const auto& [id, task] : running_) {
      if (!task.is_confirmed && now >= task.deadline) lost.push_back(id);
    }
    for (const TaskId& id : lost) End(id, true);
    if (now >= renew_at_) {
      renew_at_ = now + LeaseSettings{}.renew_every;
      for (const auto& [id, room] : rooms_) {
        if (!room.tasks.empty())
          actions.emplace_back(RenewLeases{id, room.tasks});
      }
    }
    Place(now, actions);
  }
  return actions;
}

void BaselineScheduler::End(const TaskId& id, bool is_requeued) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  Task task = std::move(it->second);
  running_.erase(it);
  const auto room = rooms_.find(task.worker);
  if (room != rooms_.end()) {
    room->second.free = room->second.free + task.size;
    std::erase(room->second.tasks, id);
  }
  if (!is_requeued || cancelled_.contains(task.job)) return;
  task.is_confirmed = false;
  task.deadline = Instant::max();
  const bool is_first = task.is_urgent && kind_ == BaselineKind::kBestFit;
  (is_first ? urgent_ : waiting_).push_front(std::move(task));
}

bool BaselineScheduler::PlaceOne(Task& task, Instant /*now*/,
                                 std::vector<JobAction>& actions) {
  Room* best = nullptr;
  double best_left = 0;
  for (auto& [id, room] : rooms_) {
    if (!Fits(task.size, room.free)) continue;
    const double left = room.free.cores - task.size.cores;
    if (best != nullptr && left >= best_left) continue;
    best = &room;
    best_left = left;
    task.worker = id;
    if (kind_ == BaselineKind::kFirstInFirstOut) break;
  }
  if (best == nullptr) return false;
  const TaskId id(task.job.value() + "/" + std::to_string(task.index) + "@1." +
                  std::to_string(++task.attempt));
  best->free = best->free - task.size;
  best->tasks.push_back(id);
  actions.emplace_back(StartTask{
      task.worker, task.job,
      TaskStart{id, task.size, LeaseSettings{}.length, task.run_time}, 0});
  running_.emplace(id, task);
  return true;
}

void BaselineScheduler::Place(Instant now, std::vector<JobAction>& actions) {
  for (std::deque<Task>* queue : {&urgent_, &waiting_}) {
    // Sizes that do not fit are not tried again in this pass.
    std::vector<Resources> blocked;
    std::deque<Task> rest;
    while (!queue->empty()) {
      Task& task = queue->front();
      const bool is_blocked =
          std::any_of(blocked.begin(), blocked.end(),
                      [&](const Resources& it) { return Fits(it, task.size); });
      if (is_blocked || !PlaceOne(task, now, actions)) {
        if (kind_ == BaselineKind::kFirstInFirstOut) break;
        if (!is_blocked) blocked.push_back(task.size);
        rest.push_back(std::move(task));
      }
      queue->pop_front();
    }
    queue->insert(queue->begin(), std::make_move_iterator(rest.begin()),
                  std::make_move_iterator(rest.end()));
  }
}

}  // namespace pomelomill
