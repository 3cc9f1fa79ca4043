#include "pomelomill/jobs/job_scheduler.h"

#include <utility>
#include <variant>

#include "scheduler_core.h"

namespace pomelomill {

JobScheduler::JobScheduler(const JobSettings& settings, Epoch epoch,
                           DecisionLog* decisions)
    : core_(std::make_unique<SchedulerCore>(settings, epoch, decisions)) {}
JobScheduler::~JobScheduler() = default;
JobScheduler::JobScheduler(JobScheduler&&) noexcept = default;
JobScheduler& JobScheduler::operator=(JobScheduler&&) noexcept = default;

std::vector<JobAction> JobScheduler::Handle(const JobEvent& event,
                                            Instant now) {
  core_->CheckGap(now);
  std::visit([&](const auto& it) { core_->On(it, now); }, event);
  return core_->TakeActions();
}

JobState JobScheduler::Snapshot() const { return core_->Snapshot(); }

Status JobScheduler::Restore(
    const JobState& state,
    const std::map<std::string, JobClassDeclaration>& classes, Instant now) {
  return core_->Restore(state, classes, now);
}

const JobStats& JobScheduler::stats() const { return core_->stats(); }
const PlaceLedger& JobScheduler::places() const { return core_->ledger(); }
const QuotaBook& JobScheduler::quotas() const { return core_->quotas(); }
const SizeBook& JobScheduler::sizes() const { return core_->sizes(); }
const Evidence& JobScheduler::evidence() const { return core_->evidence(); }
std::size_t JobScheduler::jobs() const { return core_->jobs(); }
std::size_t JobScheduler::waiting_tasks() const {
  return core_->WaitingTasks();
}

}  // namespace pomelomill
