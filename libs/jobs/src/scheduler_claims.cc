#include <algorithm>
#include <utility>

#include "scheduler_core.h"
#include "scheduler_pass_state.h"

namespace pomelomill {
namespace {

// Core-seconds that a checkpoint and the later resume cost, per core.
constexpr double kCheckpointCostSeconds = 5;
// Added to the cost of victims that should only be taken when nothing else
// helps; larger than the core-seconds of any single task.
constexpr double kInQuotaCost = 1e7;
constexpr double kOftenPreemptedCost = 1e8;

const char* Name(TaskOperation operation) {
  switch (operation) {
    case TaskOperation::kCheckpoint:
      return "checkpoint";
    case TaskOperation::kThrottle:
      return "throttle";
    case TaskOperation::kStop:
      return "stop";
    case TaskOperation::kRenew:
      return "renew";
  }
  return "";
}

}  // namespace

std::vector<VictimOption> SchedulerCore::Options(WorkerIndex w,
                                                 const TeamId& team,
                                                 VictimRule rule, Instant now) {
  std::vector<VictimOption> options;
  // What each team still borrows when the options so far are used.
  std::map<TeamId, double> borrowed;
  for (const PlaceNumber it : ledger_.worker(w).places) {
    const TaskRef ref = by_place_.at(it);
    const TaskEntry& task = ref.task();
    const JobClassDeclaration& job_class = ref.job->job_class;
    if (job_class.is_urgent || task.pending || !task.confirmed_at ||
        task.leave != LeaveReason::kNone)
      continue;
    const QuotaBook::TeamUse& use = *ref.job->use;
    // Most tasks belong to teams that lend nothing.
    if (rule == VictimRule::kBorrowed && use.Borrowed() <= 0) continue;
    const bool is_own = job_class.team == team;
    double& left =
        borrowed.try_emplace(job_class.team, use.Borrowed()).first->second;
    // A task that is larger than what its team borrows would leave the team
    // below its quota.
    const bool is_borrowed = left + kResourceTolerance >= task.size.cores;
    if (rule == VictimRule::kBorrowed &&
        (is_own || !is_borrowed || task.is_protected))
      continue;
    if (rule == VictimRule::kBorrowedOrOwn && !is_own && !is_borrowed) continue;
    if (is_borrowed) left -= task.size.cores;
    double penalty = !is_own && !is_borrowed ? kInQuotaCost : 0;
    if (task.preemptions >= settings_.max_preemptions)
      penalty += kOftenPreemptedCost;
    const double elapsed_s = ToSeconds(now - *task.confirmed_at);
    const double run_s = ToSeconds(sizes_.RunTime(job_class.id));
    const double left_s = std::max(1.0, run_s - elapsed_s);
    if (job_class.can_throttle && !task.is_throttled) {
      const double freed = task.size.cores * (1 - settings_.throttled_cores);
      options.push_back({it,
                         TaskOperation::kThrottle,
                         {freed, 0, 0},
                         left_s * freed + penalty});
    }
    if (job_class.can_checkpoint) {
      options.push_back({it, TaskOperation::kCheckpoint, task.size,
                         kCheckpointCostSeconds * task.size.cores + penalty});
    } else {
      options.push_back({it, TaskOperation::kStop, task.size,
                         elapsed_s * task.size.cores + penalty});
    }
  }
  return options;
}

bool SchedulerCore::ClaimRoom(TaskRef ref, VictimRule rule, Instant now) {
  TaskEntry& task = ref.task();
  const Resources size = SizeFor(ref);
  const TeamId& team = ref.job->job_class.team;
  PreemptionPlan plan = PlanPreemption(
      ledger_, size, [&](WorkerIndex w) { return Options(w, team, rule, now); },
      [&](WorkerIndex w) { return IsAllowed(*ref.job, task, w, now); },
      preemption_cursor_, settings_.preemption_candidates);
  if (plan.worker == kNoWorker) return false;
  preemption_cursor_ = plan.worker + 1;
  std::string victims;
  for (const VictimOption& it : plan.victims) {
    const TaskRef victim = by_place_.at(it.place);
    victims += std::string(victims.empty() ? "" : ", ") + Name(it.operation) +
               " " + victim.task().attempt.value();
    victim.task().leave = LeaveReason::kPreempted;
    if (it.operation != TaskOperation::kThrottle) ++victim.task().preemptions;
    stats_.checkpoints += it.operation == TaskOperation::kCheckpoint ? 1 : 0;
    stats_.throttles += it.operation == TaskOperation::kThrottle ? 1 : 0;
    stats_.preempting_stops += it.operation == TaskOperation::kStop ? 1 : 0;
    SendOperation(victim, it.operation, now);
  }
  std::erase(ref.job->waiting, ref.index);
  task.phase = TaskPhase::kClaimed;
  task.worker = plan.worker;
  task.size = size;
  // While claimed, the moment of the claim.
  task.started_at = now;
  ledger_.Claim(plan.worker, size);
  quotas_.Use(team).claimed += size.cores;
  if (ref.job->job_class.is_urgent) {
    quotas_.Use(team).urgent += size.cores;
    urgent_cores_ += size.cores;
  }
  claims_.push_back(ref);
  next_ready_ = std::min(next_ready_, now + settings_.claim_limit);
  Decision decision;
  decision.subjects = {{"job", ref.job->id.value()},
                       {"worker", ledger_.worker(plan.worker).id.value()}};
  decision.choice =
      "make room by " +
      (victims.empty() ? std::string("waiting for leaving tasks") : victims);
  decision.reason = ref.job->job_class.is_urgent
                        ? "urgent work found no free room"
                        : "its team is below its quota and others borrow";
  decision.facts = {{"stops", std::to_string(plan.stops)},
                    {"core-seconds lost or delayed", std::to_string(plan.cost)},
                    {"team quota", std::to_string(quotas_.Use(team).quota)}};
  if (plan.runner_up != kNoWorker)
    decision.alternatives = {{ledger_.worker(plan.runner_up).id.value(),
                              std::to_string(plan.runner_up_stops) +
                                  " stops; margin in core-seconds",
                              plan.runner_up_cost - plan.cost}};
  Record(std::move(decision), now);
  return true;
}

void SchedulerCore::DropClaim(TaskRef ref) {
  TaskEntry& task = ref.task();
  if (std::erase(claims_, ref) == 0) return;
  ledger_.Unclaim(task.worker, task.size);
  QuotaBook::TeamUse& use = quotas_.Use(ref.job->job_class.team);
  use.claimed -= task.size.cores;
  if (ref.job->job_class.is_urgent) {
    use.urgent -= task.size.cores;
    urgent_cores_ -= task.size.cores;
  }
  task.worker = kNoWorker;
  task.phase = TaskPhase::kWaiting;
  ref.job->waiting.push_front(ref.index);
  Enqueue(*ref.job);
}

void SchedulerCore::ReturnQuotas(PassState& pass, Instant now) {
  std::uint32_t returns = 0;
  std::uint32_t failures = 0;
  // Teams below their quota lend nothing, so that what fails for one of them
  // fails for the others as well.
  std::vector<Resources> failed_sizes;
  const auto is_hopeless = [&](const Resources& size) {
    return std::any_of(failed_sizes.begin(), failed_sizes.end(),
                       [&](const Resources& it) { return Fits(it, size); });
  };
  const auto lends = [](const auto& it) { return it.second.Borrowed() > 0; };
  if (std::none_of(quotas_.teams().begin(), quotas_.teams().end(), lends))
    return;
  // A search that fails looks at all workers. One pass makes few of them and
  // the next one begins with the team after the last.
  std::vector<TeamId> teams;
  for (const auto& [team, jobs] : pass.blocked) teams.push_back(team);
  const auto first = std::upper_bound(teams.begin(), teams.end(), last_return_);
  std::rotate(teams.begin(), first, teams.end());
  for (const TeamId& team : teams) {
    if (failures >= settings_.max_failed_returns_per_pass) {
      next_ready_ = std::min(next_ready_, now + settings_.resend_after);
      break;
    }
    last_return_ = team;
    const QuotaBook::TeamUse& use = quotas_.Use(team);
    for (JobEntry* job : pass.blocked[team]) {
      if (job->is_cancelled) continue;
      while (returns < settings_.max_returns_per_pass) {
        const std::size_t i = NextWaiting(*job, now);
        if (i >= job->waiting.size()) break;
        const TaskRef ref{job, job->waiting[i]};
        const Resources size = SizeFor(ref);
        if (use.Settled() + size.cores > use.quota + kResourceTolerance ||
            is_hopeless(size) ||
            failures >= settings_.max_failed_returns_per_pass)
          break;
        if (!ClaimRoom(ref, VictimRule::kBorrowed, now)) {
          ++failures;
          failed_sizes.push_back(size);
          break;
        }
        ++returns;
      }
      if (job->waiting.empty()) Dequeue(*job);
    }
  }
  // The rest continues with the next pass.
  if (returns >= settings_.max_returns_per_pass) is_dirty_ = true;
}

}  // namespace pomelomill
