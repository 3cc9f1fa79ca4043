#include <memory>
#include <string>
#include <vector>

#include "groups.h"
#include "pomelomill/jobs.h"
#include "pomelomill/platform.h"

namespace pomelomill::faults {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::TaskEnd;
using testing::TaskRun;

constexpr Duration kCallTimeout = seconds(2);
constexpr Duration kTick = milliseconds(250);
constexpr Duration kListEvery = seconds(1);

JobSettings Settings() {
  JobSettings settings;
  // Shorter than in production, so that a cell sees several leases.
  settings.lease.length = seconds(12);
  settings.lease.renew_every = seconds(4);
  // The drift that the injector applies.
  settings.lease.max_drift = 0.005;
  return settings;
}

JobClassDeclaration Class(const std::string& id, std::uint32_t cores,
                          Duration run_time) {
  JobClassDeclaration it;
  it.id = id;
  it.team = TeamId("team");
  it.cores = cores;
  it.memory_mb = 1024;
  it.run_time = run_time;
  return it;
}

std::map<std::string, JobClassDeclaration> Classes() {
  JobClassDeclaration batch = Class("batch", 3, seconds(40));
  batch.can_checkpoint = true;
  JobClassDeclaration plain = Class("plain", 3, seconds(60));
  JobClassDeclaration urgent = Class("urgent", 4, seconds(10));
  urgent.is_urgent = true;
  return {{"batch", batch}, {"plain", plain}, {"urgent", urgent}};
}

/// One process that schedules jobs on three workers. What must outlive it is
/// written to the store after each event, without a call of its own: the
/// steps here are those between scheduler and workers.
class JobsScenario {
 public:
  explicit JobsScenario(World& world)
      : world_(world), holder_(world.AddProcess("entry-1")) {
    for (int i = 1; i <= 3; ++i) {
      const std::string n = std::to_string(i);
      world_.platform.workers().Add({WorkerId("worker-" + n),
                                     RackId("rack-" + n),
                                     ZoneId("zone-" + n),
                                     {4, 8192, 0},
                                     {},
                                     {}});
    }
    world_.platform.workers().on_end = [this](const TaskRun& run) {
      Report(run);
    };
    client_ = world_.platform.ClientFor(
        holder_, [](const std::string& call) { return StepOf(call); });
    holder_.Start([this] { Begin(); });
    At(seconds(1), [this] { Submit("batch", 2); });
    At(seconds(2), [this] { Submit("plain", 1); });
    At(seconds(12), [this] { Submit("urgent", 1); });
    At(seconds(22), [this] { Cancel("plain"); });
  }

 private:
  static std::string StepOf(const std::string& call) {
    if (call == "list-workers") return "workers.list";
    if (call == "start-task") return "task.start";
    if (call == "renew-task") return "task.renew";
    if (call == "checkpoint-task") return "checkpoint.call";
    if (call == "stop-task") return "cancel.stop";
    return "task." + call;
  }

  /// An operator's event; it waits until the process runs.
  void At(Duration at, const std::function<void()>& action) {
    world_.timers.ScheduleAt(Instant(at), [this, at, action] {
      if (!holder_.is_running()) {
        At(at + seconds(3), action);
        return;
      }
      holder_.RunInside(holder_.run(), action);
    });
  }

  void Begin() {
    scheduler_ = std::make_unique<JobScheduler>(
        Settings(), Epoch(holder_.run()), &decisions_);
    TeamDeclaration team;
    team.id = TeamId("team");
    team.quota_cores = 12;
    Handle(TeamsDeclared{{{team.id, team}}});
    if (holder_.run() > 1) {
      const auto status =
          scheduler_->Restore(durable_, Classes(), holder_.Now());
      if (!status) world_.evidence.notes.push_back("restore failed");
    }
    Tick();
    List();
  }

  void Tick() {
    Handle(pomelomill::Tick{});
    holder_.ScheduleAfter(kTick, [this] { Tick(); });
  }

  void List() {
    holder_.ScheduleAfter(kListEvery, [this] { List(); });
    client_.list_workers(kCallTimeout,
                         [this](const Result<std::vector<WorkerRecord>>& list) {
                           if (list) Handle(WorkersListed{*list});
                         });
  }

  void Submit(const std::string& name, std::uint32_t tasks) {
    Handle(JobSubmitted{JobId(name), Classes().at(name), tasks});
  }

  void Cancel(const std::string& name) { Handle(JobsCancelled{{JobId(name)}}); }

  /// The worker's own report of an end; one message to the holder.
  void Report(const TaskRun& run) {
    if (run.how != TaskEnd::kFinished && run.how != TaskEnd::kFailed &&
        run.how != TaskEnd::kCheckpointed) {
      return;
    }
    world_.network.Send(worker_side_, holder_, "task.report", [this, run] {
      if (run.how == TaskEnd::kFinished) Handle(TaskFinished{run.task, {}});
      if (run.how == TaskEnd::kFailed) Handle(TaskFailed{run.task, {}, {}});
      if (run.how == TaskEnd::kCheckpointed) {
        Handle(TaskCheckpointed{run.task, 0.5});
      }
    });
  }

  void Handle(const JobEvent& event) {
    for (const JobAction& action : scheduler_->Handle(event, holder_.Now())) {
      if (!holder_.is_running()) return;
      std::visit([this](const auto& it) { Do(it); }, action);
    }
    if (holder_.is_running()) durable_ = scheduler_->Snapshot();
  }

  static CallOutcome ToOutcome(const Status& status) {
    if (status) return CallOutcome::kAccepted;
    if (status.error() == PlatformError::kRefused ||
        status.error() == PlatformError::kNotFound) {
      return CallOutcome::kRefused;
    }
    return CallOutcome::kUnknown;
  }

  std::function<void(Status)> Ended(const TaskId& task, TaskCall call) {
    return [this, task, call, sent_at = holder_.Now()](const Status& status) {
      Handle(TaskCallEnded{task, call, ToOutcome(status), sent_at});
    };
  }

  void Do(const StartTask& action) {
    client_.start_task(action.worker, action.start, kCallTimeout,
                       Ended(action.start.task, TaskCall::kStart));
  }

  void Do(const OperateTask& action) {
    const TaskCall call =
        action.operation == TaskOperation::kCheckpoint ? TaskCall::kCheckpoint
        : action.operation == TaskOperation::kThrottle ? TaskCall::kThrottle
                                                       : TaskCall::kStop;
    client_.operate_task(action.worker, action.task, action.operation,
                         kCallTimeout, Ended(action.task, call));
  }

  void Do(const RenewLeases& action) {
    const auto any = std::make_shared<bool>(false);
    const auto open = std::make_shared<std::size_t>(action.tasks.size());
    for (const TaskId& task : action.tasks) {
      client_.operate_task(
          action.worker, task, TaskOperation::kRenew, kCallTimeout,
          [this, any, open, task, worker = action.worker,
           sent_at = holder_.Now()](const Status& status) {
            const CallOutcome outcome = ToOutcome(status);
            if (outcome != CallOutcome::kUnknown) *any = true;
            Handle(TaskCallEnded{task, TaskCall::kRenew, outcome, sent_at});
            if (--*open == 0) Handle(WorkerRenewed{worker, *any});
          });
    }
  }

  void Do(const ReportJobFailed& action) {
    world_.evidence.notes.push_back("job " + action.job.value() +
                                    " failed: " + action.reason);
  }

  void Do(const ReportJobFinished& /*action*/) {}

  World& world_;
  testing::FakeProcess& holder_;
  /// Sends the workers' reports; has no faults of its own.
  testing::FakeProcess worker_side_{"workers", world_.timers};
  PlatformClient client_;
  DecisionLog decisions_;
  std::unique_ptr<JobScheduler> scheduler_;
  JobState durable_;
};

}  // namespace

Group JobsGroup() {
  Group group;
  group.name = "jobs";
  group.steps = {
      {"workers.list", StepKind::kPlatformRead, {}},
      {"task.start", StepKind::kWorkerCall, {}},
      {"task.renew", StepKind::kWorkerCall, {}},
      {"task.report", StepKind::kPeerMessage, {}},
      {"checkpoint.call", StepKind::kWorkerCall, {}},
      {"cancel.stop", StepKind::kWorkerCall, {}},
  };
  group.properties = {"P5"};
  group.length = seconds(150);
  group.has_store = false;
  group.start = [](World& world) -> std::shared_ptr<void> {
    return std::make_shared<JobsScenario>(world);
  };
  return group;
}

}  // namespace pomelomill::faults
