#include "job_world.h"

#include <algorithm>
#include <utility>

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Share of its cores that the model's workers leave a throttled task; it runs
// slower by the same factor.
constexpr double kThrottledSpeed = 0.25;
constexpr Duration kFailsAfter = seconds(2);

std::string Logical(const TaskId& task) {
  return task.value().substr(0, task.value().rfind('@'));
}

Duration Times(Duration d, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(d.count()) * factor));
}

}  // namespace

JobWorld::JobWorld(WorldSettings settings, Scheduler scheduler)
    : settings_(settings),
      scheduler_(std::move(scheduler)),
      random_(settings.seed) {
  truth = [](const JobClassDeclaration& c, Random&) {
    return TaskTruth{
        {static_cast<double>(c.cores), static_cast<double>(c.memory_mb),
         static_cast<double>(c.accelerators)},
        c.run_time,
        false};
  };
  workers_.resize(settings_.workers);
  for (std::uint32_t i = 0; i < settings_.workers; ++i) {
    WorkerRecord& record = workers_[i].record;
    record.id = WorkerId("w" + std::to_string(i));
    record.rack = RackId("r" + std::to_string(i / 4));
    record.zone = ZoneId("z" + std::to_string(i / 4 % settings_.zones));
    record.capacity = settings_.capacity;
    by_id_.emplace(record.id, i);
  }
  std::vector<WorkerRecord> all;
  for (std::uint32_t i = 0; i < settings_.workers; ++i)
    all.push_back(Record(i));
  Send(WorkersListed{all});
  At(now_ + settings_.report_every, [this] { SendList(); });
}

WorkerRecord JobWorld::Record(std::uint32_t worker) const {
  WorkerRecord record = workers_[worker].record;
  for (const auto& [id, run] : workers_[worker].runs) {
    record.tasks.push_back(id);
    record.usage.cores +=
        run.speed < 1 ? run.size.cores : run.truth.usage.cores;
    record.usage.memory_mb += run.truth.usage.memory_mb;
    record.usage.accelerators += run.truth.usage.accelerators;
  }
  return record;
}

void JobWorld::SendList() {
  WorkersListed list;
  for (std::uint32_t i = 0; i < workers_.size(); ++i) {
    const ModelWorker& it = workers_[i];
    if (it.is_lost && now_ - it.lost_at > seconds(10)) continue;
    list.workers.push_back(Record(i));
  }
  At(now_ + settings_.report_lag, [this, list] { Send(list); });
  At(now_ + settings_.report_every, [this] { SendList(); });
}

void JobWorld::At(Instant at, std::function<void()> run) {
  timers_.push({at, next_timer_++, std::move(run)});
}

void JobWorld::Send(const JobEvent& event) {
  for (const JobAction& it : scheduler_(event, now_)) Act(it);
  if (after_event) after_event();
}

void JobWorld::Submit(const std::string& id,
                      const JobClassDeclaration& job_class,
                      std::uint32_t tasks) {
  jobs_[JobId(id)] = {job_class, now_, {}, false};
  if (job_class.is_urgent) urgent_waiting += tasks;
  Send(JobSubmitted{JobId(id), job_class, tasks});
}

void JobWorld::Cancel(const std::vector<JobId>& jobs) {
  for (const JobId& it : jobs) jobs_[it].is_cancelled = true;
  Send(JobsCancelled{jobs});
}

void JobWorld::RunFor(Duration d) {
  const Instant end = now_ + d;
  const auto ticks = now_.time_since_epoch() / settings_.tick;
  Instant tick = Instant(settings_.tick * (ticks + 1));
  for (;;) {
    const Instant next =
        timers_.empty() ? tick : std::min(tick, timers_.top().at);
    if (next > end) break;
    now_ = next;
    if (!timers_.empty() && timers_.top().at <= now_) {
      const auto run = timers_.top().run;
      timers_.pop();
      run();
    } else {
      tick += settings_.tick;
      Send(Tick{});
    }
  }
  now_ = end;
}

void JobWorld::Lose(std::uint32_t worker) {
  ModelWorker& it = workers_[worker];
  for (const auto& [id, run] : it.runs) {
    failed_core_s += ToSeconds(now_ - run.since) * run.size.cores;
    running_.erase(running_.find(run.logical));
  }
  it.runs.clear();
  it.is_lost = true;
  it.lost_at = now_;
}

void JobWorld::SetPartitioned(std::uint32_t worker, bool is_partitioned) {
  workers_[worker].is_partitioned = is_partitioned;
}

void JobWorld::SetFailing(std::uint32_t worker, bool is_failing) {
  workers_[worker].is_failing = is_failing;
}

std::uint32_t JobWorld::IndexOf(const WorkerId& id) const {
  return by_id_.at(id);
}

void JobWorld::Act(const JobAction& action) {
  if (const auto* start = std::get_if<StartTask>(&action)) {
    const std::uint32_t w = IndexOf(start->worker);
    const Instant sent = now_;
    Call(
        w, [this, w, s = *start] { return StartRun(w, s); },
        [this, task = start->start.task, sent](CallOutcome outcome) {
          Send(TaskCallEnded{task, TaskCall::kStart, outcome, sent, sent});
        });
  } else if (const auto* op = std::get_if<OperateTask>(&action)) {
    const std::uint32_t w = IndexOf(op->worker);
    const Instant sent = now_;
    TaskCall call = TaskCall::kStop;
    if (op->operation == TaskOperation::kCheckpoint)
      call = TaskCall::kCheckpoint;
    if (op->operation == TaskOperation::kThrottle) call = TaskCall::kThrottle;
    Call(
        w, [this, w, o = *op] { return Operate(w, o.task, o.operation); },
        [this, task = op->task, call, sent](CallOutcome outcome) {
          Send(TaskCallEnded{task, call, outcome, sent});
        });
  } else if (const auto* renew = std::get_if<RenewLeases>(&action)) {
    const std::uint32_t w = IndexOf(renew->worker);
    const Instant sent = now_;
    auto gone = std::make_shared<std::vector<TaskId>>();
    Call(
        w,
        [this, w, tasks = renew->tasks, gone] {
          gone->clear();
          for (const TaskId& it : tasks) {
            if (!Operate(w, it, TaskOperation::kRenew)) gone->push_back(it);
          }
          return true;
        },
        [this, id = renew->worker, sent, gone](CallOutcome outcome) {
          const bool is_renewed = outcome == CallOutcome::kAccepted;
          Send(WorkerRenewed{id, is_renewed, sent});
          if (!is_renewed) return;
          for (const TaskId& it : *gone)
            Send(TaskCallEnded{it, TaskCall::kRenew, CallOutcome::kRefused,
                               sent});
        });
  } else if (const auto* fail = std::get_if<ReportJobFailed>(&action)) {
    failed[fail->job] = *fail;
  } else if (const auto* end = std::get_if<ReportJobFinished>(&action)) {
    finished.insert(end->job);
  }
}

void JobWorld::Call(std::uint32_t worker, const std::function<bool()>& effect,
                    const std::function<void(CallOutcome)>& done) {
  const std::uint64_t message = messages_++;
  const bool is_lost = (loses_message && loses_message(message)) ||
                       random_.Chance(settings_.loss);
  const bool loses_request = is_lost && random_.Chance(0.5);
  const bool is_late = random_.Chance(settings_.late);
  const Duration delay =
      is_late ? milliseconds(1000 + random_.Below(900)) : settings_.latency;
  const Instant timeout = now_ + settings_.call_timeout;
  At(now_ + delay, [=, this] {
    ModelWorker& it = workers_[worker];
    const bool reaches = !loses_request && !it.is_lost && !it.is_partitioned;
    const bool is_accepted = reaches && effect();
    if (reaches && !is_lost && !is_late) {
      At(now_ + settings_.latency, [done, is_accepted] {
        done(is_accepted ? CallOutcome::kAccepted : CallOutcome::kRefused);
      });
    } else {
      At(std::max(now_, timeout), [done] { done(CallOutcome::kUnknown); });
    }
  });
}

double JobWorld::Progress(const Run& run) const {
  const double run_s = ToSeconds(run.truth.run_time);
  if (run_s <= 0) return 1;
  return std::min(
      1.0, run.progress + run.speed * ToSeconds(now_ - run.since) / run_s);
}

bool JobWorld::StartRun(std::uint32_t worker, const StartTask& start) {
  ModelWorker& w = workers_[worker];
  const TaskId& id = start.start.task;
  if (w.runs.contains(id)) return false;
  const auto job = jobs_.find(start.job);
  if (job == jobs_.end()) return false;
  Run run;
  run.job = start.job;
  run.logical = Logical(id);
  run.size = start.start.size;
  run.truth = truth(job->second.job_class, random_);
  run.since = now_;
  run.lease_until = now_ + Times(start.start.lease, 1 + settings_.drift);
  run.progress = start.resume_from;
  if (running_.contains(run.logical))
    violations.push_back("task " + run.logical + " runs twice");
  Resources sum = run.size;
  for (const auto& [other, it] : w.runs) sum = sum + it.size;
  if (!Fits(sum, w.record.capacity))
    violations.push_back("worker " + w.record.id.value() +
                         " is over its capacity");
  running_.insert(run.logical);
  ++starts;
  ++attempts[start.job];
  if (job->second.started.insert(run.logical).second) {
    const double waited = ToSeconds(now_ - job->second.submitted);
    if (job->second.job_class.is_urgent) {
      urgent_start_s.push_back(waited);
      --urgent_waiting;
    } else {
      normal_start_s.push_back(waited);
    }
  }
  w.runs.emplace(id, std::move(run));
  Notify(worker, TaskStarted{id});
  ScheduleEnd(worker, id);
  return true;
}

void JobWorld::ScheduleEnd(std::uint32_t worker, const TaskId& task) {
  ModelWorker& w = workers_[worker];
  Run& run = w.runs.at(task);
  const std::uint64_t version = ++run.version;
  const bool out_of_memory =
      run.truth.usage.memory_mb > run.size.memory_mb + kResourceTolerance;
  const bool is_failing = w.is_failing || run.truth.is_failing || out_of_memory;
  const Duration left =
      Times(run.truth.run_time, (1 - Progress(run)) / run.speed);
  const Instant end = is_failing ? now_ + kFailsAfter : now_ + left;
  const Instant at = std::min(end, run.lease_until);
  At(at, [=, this] {
    ModelWorker& it = workers_[worker];
    const auto found = it.runs.find(task);
    if (found == it.runs.end() || found->second.version != version) return;
    Run& r = found->second;
    if (at < end && now_ < r.lease_until) {
      ScheduleEnd(worker, task);
      return;
    }
    const double core_s = ToSeconds(now_ - r.since) * r.size.cores;
    const bool is_lapsed = at < end;
    JobEvent event = TaskFinished{task, r.truth.usage};
    if (is_lapsed || is_failing) {
      failed_core_s += core_s;
      event = TaskFailed{
          task, out_of_memory ? TaskFailure::kOutOfMemory : TaskFailure::kError,
          "exit status 1"};
    } else {
      useful_core_s += core_s;
    }
    running_.erase(running_.find(r.logical));
    it.runs.erase(found);
    // A worker whose lease has lapsed reports nothing.
    if (!is_lapsed) Notify(worker, event);
  });
}

bool JobWorld::Operate(std::uint32_t worker, const TaskId& task,
                       TaskOperation op) {
  ModelWorker& w = workers_[worker];
  const auto it = w.runs.find(task);
  if (it == w.runs.end()) return false;
  Run& run = it->second;
  switch (op) {
    case TaskOperation::kRenew:
      run.lease_until =
          now_ + Times(JobSettings{}.lease.length, 1 + settings_.drift);
      return true;
    case TaskOperation::kThrottle:
      if (run.speed < 1) return true;
      run.progress = Progress(run);
      run.since = now_;
      run.speed = kThrottledSpeed;
      run.size.cores *= kThrottledSpeed;
      ScheduleEnd(worker, task);
      return true;
    case TaskOperation::kCheckpoint: {
      if (run.is_leaving) return true;
      run.is_leaving = true;
      const Duration time =
          Times(settings_.checkpoint_time,
                random_.Chance(settings_.slow_checkpoints) ? 4 : 1);
      At(now_ + time, [=, this] {
        ModelWorker& m = workers_[worker];
        const auto found = m.runs.find(task);
        if (found == m.runs.end()) return;
        const double progress = Progress(found->second);
        useful_core_s +=
            ToSeconds(now_ - found->second.since) * found->second.size.cores;
        running_.erase(running_.find(found->second.logical));
        m.runs.erase(found);
        Notify(worker, TaskCheckpointed{task, progress});
      });
      return true;
    }
    case TaskOperation::kStop:
      At(now_ + settings_.stop_time, [=, this] {
        ModelWorker& m = workers_[worker];
        const auto found = m.runs.find(task);
        if (found == m.runs.end()) return;
        if (!jobs_[found->second.job].is_cancelled) {
          ++stops;
          stopped_core_s +=
              ToSeconds(now_ - found->second.since) * found->second.size.cores;
        }
        running_.erase(running_.find(found->second.logical));
        m.runs.erase(found);
      });
      return true;
  }
  return false;
}

void JobWorld::Notify(std::uint32_t worker, JobEvent event) {
  // A lost report is repeated by the worker after a second.
  const bool is_lost = random_.Chance(settings_.loss);
  At(now_ + settings_.report_lag + (is_lost ? seconds(1) : seconds(0)),
     [this, worker, event = std::move(event)] {
       if (!workers_[worker].is_lost && !workers_[worker].is_partitioned)
         Send(event);
     });
}

double JobWorld::running_cores() const {
  double sum = 0;
  for (const ModelWorker& w : workers_) {
    for (const auto& [id, run] : w.runs) sum += run.size.cores;
  }
  return sum;
}

double JobWorld::TeamCores(const TeamId& team) const {
  double sum = 0;
  for (const ModelWorker& w : workers_) {
    for (const auto& [id, run] : w.runs) {
      if (jobs_.at(run.job).job_class.team == team) sum += run.size.cores;
    }
  }
  return sum;
}

std::set<std::string> JobWorld::Running() const {
  return {running_.begin(), running_.end()};
}

}  // namespace pomelomill
