#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "pomelomill/base/random.h"
#include "pomelomill/jobs.h"

namespace pomelomill {

struct WorldSettings {
  std::uint32_t workers = 50;
  std::uint32_t zones = 3;
  Resources capacity{32, 65536, 0};
  Duration tick = std::chrono::milliseconds(200);
  Duration report_every = std::chrono::milliseconds(500);
  /// Age of worker lists and of task events on arrival.
  Duration report_lag = std::chrono::seconds(1);
  Duration checkpoint_time = std::chrono::milliseconds(2500);
  /// Share of checkpoints that take four times as long.
  double slow_checkpoints = 0.1;
  Duration stop_time = std::chrono::milliseconds(300);
  Duration latency = std::chrono::milliseconds(2);
  Duration call_timeout = std::chrono::seconds(1);
  /// Share of calls whose request or response is lost.
  double loss = 0;
  /// Share of calls whose request arrives up to 1.9 s late.
  double late = 0;
  /// Workers keep a lease this much longer than agreed.
  double drift = 0;
  std::uint64_t seed = 1;
};

/// What a task really needs and does.
struct TaskTruth {
  Resources usage;
  Duration run_time{};
  bool is_failing = false;
};

/// Workers, their network and their reports in virtual time, around any
/// scheduler. Keeps its own record of what ran where, from which the
/// properties are checked.
class JobWorld {
 public:
  using Scheduler =
      std::function<std::vector<JobAction>(const JobEvent&, Instant)>;

  JobWorld(WorldSettings settings, Scheduler scheduler);

  /// Truth of a task of the class; the declared values by default.
  std::function<TaskTruth(const JobClassDeclaration&, Random&)> truth;
  /// Called with the number of each message that is about to be sent; true
  /// loses it.
  std::function<bool(std::uint64_t)> loses_message;
  /// Called after each event that the scheduler has handled.
  std::function<void()> after_event;

  void Send(const JobEvent& event);
  void Submit(const std::string& id, const JobClassDeclaration& job_class,
              std::uint32_t tasks = 1);
  void Cancel(const std::vector<JobId>& jobs);
  void RunFor(Duration d);
  /// The worker and its tasks are gone; lists omit it after 10 s.
  void Lose(std::uint32_t worker);
  /// No message passes, while the tasks go on until their leases end.
  void SetPartitioned(std::uint32_t worker, bool is_partitioned);
  /// Every task fails there.
  void SetFailing(std::uint32_t worker, bool is_failing);
  WorkerRecord Record(std::uint32_t worker) const;

  Instant now() const { return now_; }
  Random& random() { return random_; }
  double running_cores() const;
  /// Cores that running tasks of the team hold.
  double TeamCores(const TeamId& team) const;
  /// Tasks that run at this moment, as "JOB/INDEX".
  std::set<std::string> Running() const;
  std::uint64_t messages() const { return messages_; }

  // Records.
  std::vector<double> urgent_start_s;
  std::vector<double> normal_start_s;
  std::vector<std::string> violations;
  std::map<JobId, ReportJobFailed> failed;
  std::set<JobId> finished;
  std::map<JobId, std::uint32_t> attempts;
  std::uint64_t starts = 0;
  std::uint64_t stops = 0;
  /// Core-seconds done since the last checkpoint by tasks that were stopped.
  double stopped_core_s = 0;
  /// Core-seconds done by attempts that failed or were lost.
  double failed_core_s = 0;
  double useful_core_s = 0;
  std::uint32_t urgent_waiting = 0;

 private:
  struct Run {
    JobId job;
    std::string logical;
    Resources size;
    TaskTruth truth;
    Instant since{};
    Instant lease_until{};
    double progress = 0;
    double speed = 1;
    bool is_leaving = false;
    std::uint64_t version = 0;
  };
  struct ModelWorker {
    WorkerRecord record;
    bool is_lost = false;
    bool is_partitioned = false;
    bool is_failing = false;
    Instant lost_at{};
    std::map<TaskId, Run> runs;
  };
  struct Job {
    JobClassDeclaration job_class;
    Instant submitted{};
    std::set<std::string> started;
    bool is_cancelled = false;
  };
  struct Timer {
    Instant at{};
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const Timer& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  void At(Instant at, std::function<void()> run);
  void Act(const JobAction& action);
  /// Sends one call; `effect` runs at the worker and returns whether it was
  /// accepted. The response, or its loss, goes to `done`.
  void Call(std::uint32_t worker, std::function<bool()> effect,
            std::function<void(CallOutcome)> done);
  bool StartRun(std::uint32_t worker, const StartTask& start);
  bool Operate(std::uint32_t worker, const TaskId& task, TaskOperation op);
  void ScheduleEnd(std::uint32_t worker, const TaskId& task);
  double Progress(const Run& run) const;
  void Notify(std::uint32_t worker, JobEvent event);
  void SendList();
  std::uint32_t IndexOf(const WorkerId& id) const;

  WorldSettings settings_;
  Scheduler scheduler_;
  Random random_;
  Instant now_{};
  std::uint64_t next_timer_ = 0;
  std::uint64_t messages_ = 0;
  std::priority_queue<Timer> timers_;
  std::vector<ModelWorker> workers_;
  std::map<WorkerId, std::uint32_t> by_id_;
  std::map<JobId, Job> jobs_;
  std::multiset<std::string> running_;
};

}  // namespace pomelomill
