#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet.h"
#include "naive_scheduler.h"

namespace pomelomill {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Instance {
  std::uint64_t seed = 0;
  bool has_preemption = false;
  JobSettings settings;
  /// The capacity that the scheduler is told, as a multiple of the real one.
  double listed_capacity_factor = 1;
};

/// A few workers that answer every call at once, so that what the scheduler
/// may know is always what is the case. All checks use these records.
class Trial {
 public:
  explicit Trial(const Instance& instance)
      : instance_(instance),
        random_(instance.seed),
        scheduler_(instance.settings, Epoch(1), nullptr) {}

  std::vector<std::string> Run() {
    const auto n = 2 + random_.Below(5);
    for (std::uint64_t i = 0; i < n; ++i) {
      Worker worker;
      worker.record = {WorkerId("w" + std::to_string(i)),
                       RackId("r" + std::to_string(i / 2)),
                       ZoneId("z" + std::to_string(i / 2 % 2)),
                       {static_cast<double>(8 + 8 * random_.Below(3)),
                        static_cast<double>(16384 * (1 + random_.Below(3))),
                        static_cast<double>(2 * random_.Below(2))},
                       {},
                       {}};
      workers_[worker.record.id] = worker;
    }
    const auto teams = 1 + random_.Below(4);
    TeamsDeclared declared;
    for (std::uint64_t i = 0; i < teams; ++i) {
      const TeamId id("t" + std::to_string(i));
      const auto quota = static_cast<std::uint32_t>(8 * random_.Below(5));
      const auto weight = static_cast<double>(1 + random_.Below(3));
      declared.teams[id] = {id, weight, 0, quota};
      teams_[id] = {static_cast<double>(quota), weight, 0};
    }
    Send(declared);
    List();
    for (int step = 0; step < 40; ++step) {
      Change();
      now_ += milliseconds(500 + random_.Below(3000));
      TimeOut();
      List();
      Passes();
      CheckPlaces();
    }
    End();
    return wrong_;
  }

 private:
  struct Worker {
    WorkerRecord record;
    bool is_lost = false;
    std::uint32_t lists_missed = 0;
  };
  struct Attempt {
    JobId job;
    std::string logical;
    WorkerId worker;
    Resources size;
    bool is_leaving = false;
    TaskOperation leaves_by = TaskOperation::kStop;
    bool is_throttled = false;
  };
  struct Job {
    JobClassDeclaration job_class;
    std::uint64_t sequence = 0;
    std::uint32_t tasks = 0;
    bool is_cancelled = false;
    /// Tasks that wait, have ended, or of which nothing is certain since their
    /// worker was lost.
    std::set<std::string> waiting;
    std::set<std::string> done;
    std::set<std::string> uncertain;
  };

  void Fail(const std::string& what) {
    wrong_.push_back(what + " at " +
                     std::to_string(ToSeconds(now_.time_since_epoch())) + " s");
  }

  static std::string Logical(const TaskId& task) {
    return task.value().substr(0, task.value().rfind('@'));
  }

  void Change() {
    const auto operations = 1 + random_.Below(4);
    for (std::uint64_t i = 0; i < operations; ++i) {
      switch (random_.Below(8)) {
        case 0:
        case 1:
        case 2:
        case 3:
          Submit();
          break;
        case 4:
        case 5:
          FinishSome(0.4);
          break;
        case 6:
          if (random_.Chance(0.4)) CancelBurst(0.3);
          break;
        default:
          if (random_.Chance(0.15)) LoseWorker();
          break;
      }
    }
    LeaveSome(0.7);
  }

  void Submit() {
    const std::string id = "j" + std::to_string(next_);
    const std::string team = "t" + std::to_string(random_.Below(teams_.size()));
    // A class of its own for each job, since a class has one size.
    JobClassDeclaration c = TestClass(
        "c" + std::to_string(next_), team,
        1 + static_cast<std::uint32_t>(random_.Below(12)), seconds(20));
    c.memory_mb = 512 * (1 + static_cast<std::uint32_t>(random_.Below(30)));
    if (random_.Chance(0.2)) c.accelerators = 1;
    c.is_urgent = random_.Chance(0.25);
    c.can_checkpoint = random_.Chance(0.5);
    c.can_throttle = random_.Chance(0.3);
    c.max_attempts = 100;
    Job& job = jobs_[JobId(id)];
    job.job_class = c;
    job.sequence = next_++;
    job.tasks = 1 + static_cast<std::uint32_t>(random_.Below(6));
    for (std::uint32_t i = 0; i < job.tasks; ++i)
      job.waiting.insert(id + "/" + std::to_string(i));
    Send(JobSubmitted{JobId(id), c, job.tasks});
  }

  void FinishSome(double share) {
    std::vector<TaskId> ended;
    for (const auto& [id, run] : runs_) {
      if (!run.is_leaving && !workers_[run.worker].is_lost &&
          random_.Chance(share))
        ended.push_back(id);
    }
    for (const TaskId& id : ended) {
      jobs_[runs_[id].job].done.insert(runs_[id].logical);
      EndRun(id, TaskFinished{id, {}});
    }
  }

  /// The run has ended; the event tells so, twice.
  void EndRun(const TaskId& id, const JobEvent& event) {
    const std::uint64_t releases = scheduler_.places().releases();
    runs_.erase(id);
    Send(event);
    Send(event);
    if (scheduler_.places().releases() != releases + 1)
      Fail("the place of " + id.value() + " was not released exactly once");
  }

  void LeaveSome(double share) {
    std::vector<TaskId> ended;
    for (const auto& [id, run] : runs_) {
      if (run.is_leaving && !workers_[run.worker].is_lost &&
          random_.Chance(share))
        ended.push_back(id);
    }
    for (const TaskId& id : ended) {
      const Attempt run = runs_[id];
      Job& job = jobs_[run.job];
      if (!job.is_cancelled) job.waiting.insert(run.logical);
      if (run.leaves_by == TaskOperation::kCheckpoint) {
        EndRun(id, TaskCheckpointed{id, 0.5});
      } else {
        EndRun(id, TaskCallEnded{id, TaskCall::kStop, CallOutcome::kRefused,
                                 now_, now_});
      }
    }
  }

  void CancelBurst(double share) {
    JobsCancelled cancel;
    for (auto& [id, job] : jobs_) {
      if (job.is_cancelled || !random_.Chance(share)) continue;
      job.is_cancelled = true;
      job.waiting.clear();
      cancel.jobs.push_back(id);
    }
    Send(cancel);
    Send(cancel);
  }

  void LoseWorker() {
    auto it = workers_.begin();
    std::advance(it,
                 static_cast<std::ptrdiff_t>(random_.Below(workers_.size())));
    it->second.is_lost = true;
    for (auto& [id, run] : runs_) {
      if (run.worker == it->first) jobs_[run.job].uncertain.insert(run.logical);
    }
  }

  void List() {
    WorkersListed list;
    for (auto& [id, worker] : workers_) {
      if (worker.is_lost) {
        ++worker.lists_missed;
        continue;
      }
      WorkerRecord record = worker.record;
      record.capacity.cores *= instance_.listed_capacity_factor;
      record.capacity.memory_mb *= instance_.listed_capacity_factor;
      for (const auto& [task, run] : runs_) {
        if (run.worker != id) continue;
        record.tasks.push_back(task);
        record.usage = record.usage + run.size;
      }
      list.workers.push_back(record);
    }
    Send(list);
  }

  void Send(const JobEvent& event) {
    std::deque<JobEvent> events{event};
    while (!events.empty()) {
      const auto actions = scheduler_.Handle(events.front(), now_);
      events.pop_front();
      for (const JobAction& it : actions)
        std::visit([&](const auto& action) { Do(action, events); }, it);
    }
  }

  /// Ends the calls that nobody answered.
  void TimeOut() {
    for (const JobEvent& it : std::exchange(unanswered_, {})) Send(it);
  }

  void Do(const StartTask& action, std::deque<JobEvent>& events) {
    const TaskId& id = action.start.task;
    Job& job = jobs_[action.job];
    Attempt run{action.job, Logical(id), action.worker, action.start.size};
    ++starts_;
    if (job.is_cancelled) Fail("cancelled " + id.value() + " was started");
    const Worker& worker = workers_[action.worker];
    if (!worker.is_lost) {
      Resources sum = run.size;
      for (const auto& [other, it] : runs_) {
        if (it.logical == run.logical)
          Fail("task " + run.logical + " runs twice");
        if (it.worker == run.worker) sum = sum + it.size;
      }
      if (!Fits(sum, worker.record.capacity))
        Fail("worker " + run.worker.value() + " is over its capacity");
    }
    CheckOrder(job, run);
    job.waiting.erase(run.logical);
    if (worker.is_lost) job.uncertain.insert(run.logical);
    runs_[id] = run;
    last_started_ = action.job;
    events.push_back(TaskCallEnded{
        id, TaskCall::kStart,
        worker.is_lost ? CallOutcome::kUnknown : CallOutcome::kAccepted, now_,
        now_});
  }

  /// Checks a start against the order in which the naive scheduler serves the
  /// tasks that wait.
  void CheckOrder(const Job& job, const Attempt& run) {
    if (instance_.has_preemption || HasLostRun()) return;
    const NaiveScheduler naive = Naive();
    const NaiveTask started = ToNaive(run.job, job, run.size);
    if (!naive.IsPlaceable(started))
      Fail("task " + run.logical + " was started without room");
    // All tasks of a job are placed before the shares are compared again.
    if (run.job == last_started_) return;
    for (const NaiveTask& it : Waiting()) {
      if (naive.IsPlaceable(it) && naive.IsBefore(it, started))
        Fail("job " + run.job.value() + " was started before job " +
             it.job.value());
    }
  }

  void Do(const OperateTask& action, std::deque<JobEvent>& events) {
    const TaskCall call =
        action.operation == TaskOperation::kCheckpoint ? TaskCall::kCheckpoint
        : action.operation == TaskOperation::kThrottle ? TaskCall::kThrottle
                                                       : TaskCall::kStop;
    const auto it = runs_.find(action.task);
    CallOutcome outcome = CallOutcome::kRefused;
    if (it != runs_.end()) {
      Attempt& run = it->second;
      const Job& job = jobs_[run.job];
      if (!job.is_cancelled && !run.is_leaving)
        CheckVictim(job, run, action.operation);
      if (workers_[run.worker].is_lost) {
        outcome = CallOutcome::kUnknown;
      } else {
        outcome = CallOutcome::kAccepted;
        if (action.operation == TaskOperation::kThrottle) {
          if (!run.is_throttled)
            run.size.cores *= instance_.settings.throttled_cores;
          run.is_throttled = true;
        } else {
          run.is_leaving = true;
          run.leaves_by = action.operation;
        }
      }
    }
    const TaskCallEnded end{action.task, call, outcome, now_, now_};
    if (outcome == CallOutcome::kUnknown) {
      unanswered_.push_back(end);
    } else {
      events.push_back(end);
    }
  }

  void CheckVictim(const Job& job, const Attempt& run,
                   TaskOperation operation) {
    if (!instance_.has_preemption) Fail("a task was preempted");
    if (job.job_class.is_urgent)
      Fail("urgent " + run.logical + " was preempted");
    if (HasLostRun() || HasWaitingUrgent()) return;
    // Only borrowed room is returned when no urgent work waits.
    const double kept = operation == TaskOperation::kThrottle
                            ? instance_.settings.throttled_cores
                            : 0;
    const NaiveScheduler naive = Naive();
    const TeamId& team = job.job_class.team;
    if (naive.teams.at(team).used - run.size.cores * (1 - kept) <
        naive.Quota(team) - kResourceTolerance)
      Fail("task " + run.logical + " made room although its team needs it " +
           "for its quota");
  }

  void Do(const RenewLeases& action, std::deque<JobEvent>& events) {
    events.push_back(
        WorkerRenewed{action.worker, !workers_[action.worker].is_lost, now_});
  }

  void Do(const ReportJobFailed& action, std::deque<JobEvent>& /*events*/) {
    Job& job = jobs_[action.job];
    if (action.failure != JobFailure::kUnplaceable)
      Fail("job " + action.job.value() + " failed: " + action.reason);
    for (const auto& [id, it] : workers_) {
      if (!it.is_lost && Fits(Size(job), it.record.capacity))
        Fail("job " + action.job.value() + " fits " + id.value());
    }
    job.is_cancelled = true;
    job.waiting.clear();
  }

  void Do(const ReportJobFinished& action, std::deque<JobEvent>& /*events*/) {
    const Job& job = jobs_[action.job];
    if (job.done.size() != job.tasks)
      Fail("job " + action.job.value() + " was reported before its end");
  }

  /// Ticks until no task is started any more, as the passes of a real process
  /// would, but without time between them.
  void Passes() {
    // Room that was made by preemption is used beyond the limit.
    const std::uint64_t max_starts =
        instance_.has_preemption ? UINT64_MAX
                                 : instance_.settings.max_starts_per_pass;
    for (int i = 0; i < 200; ++i) {
      const std::uint64_t before = starts_;
      last_started_ = JobId();
      Send(Tick{});
      if (starts_ - before > max_starts)
        Fail("a pass started more than its limit");
      if (starts_ == before) break;
    }
    if (instance_.has_preemption || HasLostRun()) return;
    const NaiveScheduler naive = Naive();
    const std::vector<NaiveTask> waiting = Waiting();
    if (const NaiveTask* it = naive.Next(waiting))
      Fail("job " + it->job.value() + " waits although there is room");
  }

  void CheckPlaces() {
    const PlaceLedger& places = scheduler_.places();
    if (places.reservations() - places.releases() != places.places())
      Fail("places do not add up");
    if (HasLostRun()) return;
    if (places.places() != runs_.size()) Fail("a place is held by no task");
    const NaiveScheduler naive = Naive();
    for (const auto& [id, team] : naive.teams) {
      const auto it = scheduler_.quotas().teams().find(id);
      const double used = it == scheduler_.quotas().teams().end()
                              ? 0
                              : it->second.used - it->second.leaving;
      if (std::abs(used - team.used) > 1e-3)
        Fail("the quota of " + id.value() + " counts " + std::to_string(used) +
             " cores instead of " + std::to_string(team.used));
    }
  }

  /// Everything ends or is cancelled; nothing may stay behind.
  void End() {
    JobsCancelled all;
    for (auto& [id, job] : jobs_) {
      job.is_cancelled = true;
      job.waiting.clear();
      all.jobs.push_back(id);
    }
    Send(all);
    for (int i = 0; i < 400 && scheduler_.jobs() > 0; ++i) {
      now_ += seconds(1);
      TimeOut();
      LeaveSome(1);
      List();
      Send(Tick{});
    }
    if (scheduler_.jobs() != 0) Fail("a job is left after all were cancelled");
    if (scheduler_.places().places() != 0)
      Fail("a place is left after all were cancelled");
  }

  bool HasLostRun() const {
    const bool is_list_old =
        std::any_of(workers_.begin(), workers_.end(), [](const auto& it) {
          return it.second.is_lost && it.second.lists_missed < 2;
        });
    return is_list_old ||
           std::any_of(runs_.begin(), runs_.end(), [&](const auto& it) {
             return workers_.at(it.second.worker).is_lost;
           });
  }

  bool HasWaitingUrgent() const {
    return std::any_of(jobs_.begin(), jobs_.end(), [](const auto& it) {
      return it.second.job_class.is_urgent && !it.second.waiting.empty();
    });
  }

  Resources Size(const Job& job) const {
    Resources size{static_cast<double>(job.job_class.cores),
                   static_cast<double>(job.job_class.memory_mb),
                   static_cast<double>(job.job_class.accelerators)};
    return size;
  }

  NaiveTask ToNaive(const JobId& id, const Job& job,
                    const Resources& size) const {
    return {id, job.job_class.team, job.sequence, job.job_class.is_urgent,
            size};
  }

  std::vector<NaiveTask> Waiting() const {
    std::vector<NaiveTask> waiting;
    for (const auto& [id, job] : jobs_) {
      if (!job.waiting.empty()) waiting.push_back(ToNaive(id, job, Size(job)));
    }
    return waiting;
  }

  NaiveScheduler Naive() const {
    NaiveScheduler naive;
    naive.teams = teams_;
    for (const auto& [id, it] : workers_) {
      if (!it.is_lost) naive.workers[id.value()].capacity = it.record.capacity;
    }
    for (const auto& [id, run] : runs_) {
      const JobClassDeclaration& c = jobs_.at(run.job).job_class;
      NaiveWorker& worker = naive.workers[run.worker.value()];
      worker.held = worker.held + run.size;
      if (!run.is_leaving) naive.teams[c.team].used += run.size.cores;
      if (c.is_urgent) naive.urgent_cores += run.size.cores;
    }
    return naive;
  }

  Instance instance_;
  Random random_;
  JobScheduler scheduler_;
  Instant now_{};
  std::map<WorkerId, Worker> workers_;
  std::map<TeamId, NaiveTeam> teams_;
  std::map<JobId, Job> jobs_;
  std::map<TaskId, Attempt> runs_;
  std::vector<JobEvent> unanswered_;
  std::uint64_t next_ = 0;
  std::uint64_t starts_ = 0;
  JobId last_started_;
  std::vector<std::string> wrong_;
};

Instance Make(std::uint64_t seed, bool has_preemption) {
  Instance instance;
  instance.seed = seed;
  instance.has_preemption = has_preemption;
  // A worker held for a task that waits long leaves room unused on purpose.
  instance.settings.reserve_after = hours(24);
  instance.settings.max_starts_per_pass = 1 + seed % 8;
  if (!has_preemption) instance.settings.preemption_candidates = 0;
  return instance;
}

std::vector<std::string> RunTrial(const Instance& instance) {
  return Trial(instance).Run();
}

void Show(const std::vector<std::string>& wrong) {
  for (std::size_t i = 0; i < std::min<std::size_t>(3, wrong.size()); ++i)
    RC_LOG() << wrong[i] << "\n";
}

// Guards against a scheduler that leaves work waiting beside free room, serves
// it in another order than by urgency and quota, overfills a worker, runs a
// task twice or releases a place other than once.
TEST_CASE("without preemption it places what the naive scheduler places") {
  CHECK(rc::check([](std::uint64_t seed) {
    const auto wrong = RunTrial(Make(seed, false));
    Show(wrong);
    RC_ASSERT(wrong.empty());
  }));
}

// Guards against the same faults while tasks make room for others, and against
// preemption of urgent work and of teams within their quota.
TEST_CASE("with preemption it keeps capacities, quotas and places") {
  CHECK(rc::check([](std::uint64_t seed) {
    const auto wrong = RunTrial(Make(seed, true));
    Show(wrong);
    RC_ASSERT(wrong.empty());
  }));
}

int Found(const Instance& broken, const std::string& text) {
  int n = 0;
  Instance instance = broken;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    instance.seed = seed;
    const auto wrong = RunTrial(instance);
    n += std::any_of(wrong.begin(), wrong.end(), [&](const std::string& it) {
      return it.find(text) != std::string::npos;
    });
  }
  return n;
}

// Guards against checks of this file that pass whatever the scheduler does.
TEST_CASE("a scheduler with a known fault differs from the naive one") {
  Instance short_sighted = Make(0, false);
  short_sighted.settings.lookahead = 1;
  CHECK(Found(short_sighted, "waits although there is room") > 0);
  Instance overfilling = Make(0, false);
  overfilling.listed_capacity_factor = 2;
  CHECK(Found(overfilling, "is over its capacity") > 0);
  Instance all_urgent = Make(0, false);
  all_urgent.settings.max_urgent_share = 1;
  CHECK(Found(all_urgent, "was started without room") > 0);
  Instance preempting = Make(0, true);
  preempting.has_preemption = false;
  CHECK(Found(preempting, "was preempted") > 0);
}

}  // namespace
}  // namespace pomelomill
