#include <algorithm>
#include <set>
#include <utility>

#include "scheduler_core.h"
#include "scheduler_pass_state.h"

namespace pomelomill {
namespace {

constexpr std::size_t kNone = SIZE_MAX;

std::string Text(const Resources& size) {
  return std::to_string(size.cores) + " cores, " +
         std::to_string(size.memory_mb) + " MB, " +
         std::to_string(size.accelerators) + " accelerators";
}

}  // namespace

void SchedulerCore::On(const Tick& /*event*/, Instant now) {
  Upkeep(now);
  if (now >= next_ready_) is_dirty_ = true;
  if (!is_dirty_ || !has_workers_ || now < starts_allowed_at_) return;
  RunPass(now);
}

void SchedulerCore::RunPass(Instant now) {
  is_dirty_ = false;
  next_ready_ = Instant::max();
  ++stats_.passes;
  PassState pass;
  pass.starts_left = settings_.max_starts_per_pass;
  // Room that was made is used at once, whatever the bound on starts.
  StartClaimed(now);
  PlaceUrgent(pass, now);
  PlaceNormal(pass, now);
  ReturnQuotas(pass, now);
  ReserveForLongWaiting(now);
}

std::size_t SchedulerCore::NextWaiting(const JobEntry& job, Instant now) {
  for (std::size_t i = 0; i < job.waiting.size(); ++i) {
    const TaskEntry& task = job.tasks[job.waiting[i]];
    const Instant ready = std::max(task.not_before, task.held_until);
    if (ready <= now) return i;
    next_ready_ = std::min(next_ready_, ready);
  }
  return kNone;
}

bool SchedulerCore::IsAllowed(const JobEntry& job, const TaskEntry& task,
                              WorkerIndex w, Instant now) const {
  if (!evidence_.IsUsable(w) || !IsReachable(w, now)) return false;
  const JobEntry* reserved_for = worker_states_[w].reserved_for;
  if (reserved_for != nullptr && reserved_for != &job &&
      !job.job_class.is_urgent)
    return false;
  if (now - task.waiting_since >= settings_.avoid_for) return true;
  return !evidence_.HasOnlyFailed(job.id, w) &&
         std::find(task.failed_on.begin(), task.failed_on.end(), w) ==
             task.failed_on.end();
}

PlacementChoice SchedulerCore::Choose(const JobEntry& job,
                                      const TaskEntry& task,
                                      const Resources& size,
                                      Instant now) const {
  if (evidence_.has_blamed_outside()) {
    const PlacementChoice choice =
        ChoosePlacement(ledger_, size, job.spread, [&](WorkerIndex w) {
          return !evidence_.IsBlamed(w) && IsAllowed(job, task, w, now);
        });
    if (choice.worker != kNoWorker) return choice;
  }
  return ChoosePlacement(ledger_, size, job.spread, [&](WorkerIndex w) {
    return IsAllowed(job, task, w, now);
  });
}

void SchedulerCore::StartClaimed(Instant now) {
  std::vector<TaskRef> open;
  open.swap(claims_);
  for (const TaskRef& ref : open) {
    TaskEntry& task = ref.task();
    const WorkerRoom& room = ledger_.worker(task.worker);
    const bool is_usable = room.is_listed && IsReachable(task.worker, now) &&
                           evidence_.IsUsable(task.worker) &&
                           now - task.started_at < settings_.claim_limit;
    if (is_usable && !Fits(task.size, room.Free())) {
      claims_.push_back(ref);
      next_ready_ =
          std::min(next_ready_, task.started_at + settings_.claim_limit);
      continue;
    }
    const WorkerIndex w = task.worker;
    claims_.push_back(ref);
    DropClaim(ref);
    if (is_usable) {
      std::erase(ref.job->waiting, ref.index);
      if (ref.job->waiting.empty()) Dequeue(*ref.job);
      Start(ref, w, Resources(task.size), nullptr,
            "the room that was made for it is free", now);
    }
  }
}

bool SchedulerCore::IsUnplaceable(JobEntry& job, const Resources& size,
                                  Instant now) {
  if (Fits(size, largest_)) {
    const auto fits = [&](const WorkerRoom& it) {
      return it.is_listed && Fits(size, it.capacity);
    };
    const auto& workers = ledger_.workers();
    if (std::any_of(workers.begin(), workers.end(), fits)) {
      job.unplaceable_since.reset();
      return false;
    }
  }
  if (!job.unplaceable_since) job.unplaceable_since = now;
  const Instant limit = *job.unplaceable_since + settings_.unplaceable_after;
  if (now < limit) {
    next_ready_ = std::min(next_ready_, limit);
    return true;
  }
  GiveUp(job, JobFailure::kUnplaceable,
         "no listed worker is large enough: needs " + Text(size) +
             "; the largest values of any worker are " + Text(largest_),
         now);
  return true;
}

bool SchedulerCore::PlaceTasks(JobEntry& job, PassState& pass, Instant now) {
  while (!job.waiting.empty()) {
    const std::size_t i = NextWaiting(job, now);
    if (i == kNone) return true;
    if (pass.starts_left == 0) {
      is_dirty_ = true;
      return true;
    }
    const TaskRef ref{&job, job.waiting[i]};
    TaskEntry& task = ref.task();
    const Resources size = SizeFor(ref);
    if (job.job_class.is_urgent &&
        urgent_cores_ + size.cores >
            settings_.max_urgent_share * ledger_.Capacity().cores)
      return false;
    // A job that avoids workers may fail to fit where others do not.
    const bool is_plain =
        task.failed_on.empty() && evidence_.Failures(job.id) == 0;
    const bool has_reservation = job.reserved_worker != kNoWorker;
    if (pass.IsBlocked(size) && !has_reservation) return false;
    PlacementChoice choice;
    if (has_reservation &&
        Fits(size, ledger_.worker(job.reserved_worker).Free()) &&
        Fits(size, ledger_.worker(job.reserved_worker).Headroom()) &&
        IsAllowed(job, task, job.reserved_worker, now)) {
      choice.worker = job.reserved_worker;
    } else {
      choice = Choose(job, task, size, now);
    }
    if (choice.worker == kNoWorker) {
      if (!job.job_class.is_urgent && SendProbe(ref, size, now)) {
        --pass.starts_left;
        continue;
      }
      if (IsUnplaceable(job, size, now)) return true;
      if (is_plain && !job.job_class.is_urgent) pass.Block(size);
      return false;
    }
    job.waiting.erase(job.waiting.begin() + static_cast<std::ptrdiff_t>(i));
    --pass.starts_left;
    const bool is_reserved = choice.worker == job.reserved_worker;
    if (is_reserved) {
      Unreserve(job);
      task.is_protected = true;
    }
    Start(
        ref, choice.worker, size, &choice,
        is_reserved ? "the worker was held free for it" : "best spread and fit",
        now);
  }
  return true;
}

void SchedulerCore::PlaceUrgent(PassState& pass, Instant now) {
  std::vector<JobEntry*> queue;
  queue.reserve(urgent_.size());
  for (const auto& [sequence, job] : urgent_) queue.push_back(job);
  for (JobEntry* job : queue) {
    while (!PlaceTasks(*job, pass, now)) {
      const std::size_t i = NextWaiting(*job, now);
      if (i == kNone) break;
      const TaskRef ref{job, job->waiting[i]};
      const Resources size = SizeFor(ref);
      const QuotaBook::TeamUse& use = quotas_.Use(job->job_class.team);
      if (urgent_cores_ + size.cores >
          settings_.max_urgent_share * ledger_.Capacity().cores)
        break;
      // Urgent work beyond the quota takes room from borrowers only; otherwise
      // a team could void all quotas by calling its work urgent.
      const bool is_entitled = use.urgent + size.cores <= use.quota;
      if (!ClaimRoom(
              ref,
              is_entitled ? VictimRule::kAnyNormal : VictimRule::kBorrowedOrOwn,
              now))
        break;
    }
    if (job->waiting.empty()) Dequeue(*job);
    if (job->is_cancelled) DropJobIfEnded(job);
  }
}

void SchedulerCore::PlaceNormal(PassState& pass, Instant now) {
  // Teams with the smallest share of their entitlement come first; a team is
  // put back after each job, since its share has grown by then.
  std::set<std::pair<double, TeamId>> teams;
  for (const auto& [team, queue] : normal_)
    teams.emplace(QuotaBook::Share(quotas_.Use(team)), team);
  std::map<TeamId, std::uint64_t> position;
  std::map<TeamId, std::uint32_t> looked_at;
  while (!teams.empty() && pass.starts_left > 0) {
    const TeamId team = teams.begin()->second;
    teams.erase(teams.begin());
    const auto queue = normal_.find(team);
    if (queue == normal_.end()) continue;
    const auto it = queue->second.lower_bound(position[team]);
    if (it == queue->second.end()) continue;
    JobEntry* job = it->second;
    position[team] = job->sequence + 1;
    const bool is_placed = PlaceTasks(*job, pass, now);
    if (!is_placed) {
      pass.blocked[team].push_back(job);
      if (++looked_at[team] >= settings_.lookahead) continue;
    }
    if (job->waiting.empty()) Dequeue(*job);
    if (job->is_cancelled) DropJobIfEnded(job);
    teams.emplace(QuotaBook::Share(quotas_.Use(team)), team);
  }
  if (!teams.empty()) is_dirty_ = true;
}

bool SchedulerCore::SendProbe(TaskRef ref, const Resources& size, Instant now) {
  for (const WorkerIndex w : evidence_.Quarantined()) {
    const WorkerRoom& room = ledger_.worker(w);
    if (!evidence_.IsProbeDue(w, now) || !room.is_listed ||
        !IsReachable(w, now) || !Fits(size, room.Free()) ||
        evidence_.HasOnlyFailed(ref.job->id, w))
      continue;
    std::erase(ref.job->waiting, ref.index);
    evidence_.ProbeSent(w, ref.job->id);
    Start(ref, w, size, nullptr, "probe of a quarantined worker", now);
    return true;
  }
  return false;
}

void SchedulerCore::Start(TaskRef ref, WorkerIndex w, const Resources& size,
                          const PlacementChoice* choice, const char* reason,
                          Instant now) {
  JobEntry& job = *ref.job;
  TaskEntry& task = ref.task();
  const Resources free = ledger_.worker(w).Free();
  task.phase = TaskPhase::kRunning;
  task.worker = w;
  task.size = size;
  task.place = ledger_.Reserve(w, size);
  ++task.attempts;
  task.attempt = MakeTaskId({job.id, ref.index, epoch_.value(), task.attempts});
  task.started_at = now;
  task.confirmed_at.reset();
  task.lease = {};
  live_.emplace(task.attempt, ref);
  by_place_.emplace(task.place, ref);
  QuotaBook::TeamUse& use = quotas_.Use(job.job_class.team);
  use.used += size.cores;
  if (job.job_class.is_urgent) {
    use.urgent += size.cores;
    urgent_cores_ += size.cores;
  }
  job.spread.Add(ledger_.worker(w));
  ++job.running;
  job.last_start = now;
  ++stats_.starts;
  WorkerState& state = worker_states_[w];
  state.last_change = now;
  state.is_usage_sampled = false;
  if (ledger_.worker(w).places.size() == 1) {
    state.unknown_renewals = 0;
    state.renew_at = now + settings_.lease.renew_every;
  }
  Due(w, state.renew_at);
  SendStart(ref, now);
  if (decisions_ == nullptr) return;
  Decision decision;
  decision.subjects = {{"job", job.id.value()},
                       {"worker", ledger_.worker(w).id.value()}};
  decision.choice = "start " + task.attempt.value();
  decision.reason = reason;
  decision.facts = {
      {"size", Text(size)},
      {"declared cores", std::to_string(job.job_class.cores)},
      {"declared MB", std::to_string(job.job_class.memory_mb)},
      {"free", Text(free)},
      {"team share", std::to_string(QuotaBook::Share(use))},
      {"waited s", std::to_string(ToSeconds(now - task.waiting_since))}};
  if (choice != nullptr && choice->runner_up != kNoWorker)
    decision.alternatives = {{ledger_.worker(choice->runner_up).id.value(),
                              "higher score of spread and fit",
                              choice->runner_up_score - choice->score}};
  Record(std::move(decision), now);
}

void SchedulerCore::Unreserve(JobEntry& job) {
  if (job.reserved_worker == kNoWorker) return;
  worker_states_[job.reserved_worker].reserved_for = nullptr;
  job.reserved_worker = kNoWorker;
  --reserved_workers_;
  is_dirty_ = true;
}

void SchedulerCore::ReserveForLongWaiting(Instant now) {
  const auto limit = std::max<std::size_t>(
      1, static_cast<std::size_t>(settings_.max_reserved_share *
                                  static_cast<double>(worker_states_.size())));
  std::uint32_t chosen = 0;
  std::map<std::uint64_t, JobEntry*> oldest;
  for (const auto& [team, queue] : normal_) {
    std::uint32_t n = 0;
    for (const auto& [sequence, job] : queue) {
      if (++n > settings_.lookahead) break;
      const std::size_t i = NextWaiting(*job, now);
      if (i == kNone) continue;
      // A job whose tasks start one after the other needs no reservation.
      const Instant due =
          std::max(job->tasks[job->waiting[i]].waiting_since, job->last_start) +
          settings_.reserve_after;
      if (now < due) {
        next_ready_ = std::min(next_ready_, due);
        continue;
      }
      const WorkerIndex w = job->reserved_worker;
      if (w != kNoWorker &&
          (!ledger_.worker(w).is_listed || !evidence_.IsUsable(w)))
        Unreserve(*job);
      if (job->reserved_worker == kNoWorker) oldest.emplace(sequence, job);
    }
  }
  for (const auto& [sequence, job] : oldest) {
    if (reserved_workers_ >= limit) return;
    if (++chosen > settings_.max_reservations_per_pass) {
      is_dirty_ = true;
      return;
    }
    const std::size_t next = NextWaiting(*job, now);
    const TaskRef ref{job, job->waiting[next]};
    const Resources size = SizeFor(ref);
    WorkerIndex best = kNoWorker;
    Duration best_wait = Duration::max();
    for (WorkerIndex w = 0; w < worker_states_.size(); ++w) {
      const WorkerRoom& room = ledger_.worker(w);
      if (!room.is_listed || worker_states_[w].reserved_for != nullptr ||
          !Fits(size, room.capacity) || !IsAllowed(*job, ref.task(), w, now))
        continue;
      std::vector<std::pair<Duration, Resources>> ends;
      for (const PlaceNumber it : room.places) {
        const TaskRef other = by_place_.at(it);
        const Duration run = sizes_.RunTime(other.job->job_class.id);
        const Duration elapsed = now - other.task().started_at;
        ends.emplace_back(run > elapsed ? run - elapsed : run,
                          other.task().size);
      }
      std::sort(ends.begin(), ends.end(),
                [](const auto& a, const auto& b) { return a.first < b.first; });
      Resources free = room.Headroom();
      Duration wait{};
      for (const auto& [end, freed] : ends) {
        if (Fits(size, free)) break;
        free = free + freed;
        wait = end;
      }
      if (Fits(size, free) && wait < best_wait) {
        best = w;
        best_wait = wait;
      }
    }
    if (best == kNoWorker) continue;
    worker_states_[best].reserved_for = job;
    job->reserved_worker = best;
    ++reserved_workers_;
    Decision decision;
    decision.subjects = {{"job", job->id.value()},
                         {"worker", ledger_.worker(best).id.value()}};
    decision.choice = "hold the worker free";
    decision.reason = "a task of the job has waited for longer than " +
                      std::to_string(ToSeconds(settings_.reserve_after)) + " s";
    decision.facts = {
        {"expected wait s", std::to_string(ToSeconds(best_wait))}};
    Record(std::move(decision), now);
  }
}

}  // namespace pomelomill
