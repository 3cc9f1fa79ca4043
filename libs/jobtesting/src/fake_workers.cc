#include "pomelomill/jobtesting/fake_workers.h"

#include <algorithm>
#include <utility>

namespace pomelomill {
namespace {

constexpr Duration kLeaseCheck = std::chrono::milliseconds(2);
/// `noticeMs` and `cancel_ms` of the platform.
constexpr Duration kNoticeTime = std::chrono::milliseconds(4500);
constexpr Duration kCancelTime = std::chrono::seconds(3);
/// `stableMs` and one heartbeat of the platform.
constexpr Duration kCapacityNotice = std::chrono::milliseconds(4500);
/// An owner that has lost a worker calls it again within this time.
constexpr Duration kFirstCallDelay = std::chrono::milliseconds(110);
constexpr Duration kCrashDelay = std::chrono::milliseconds(10);
constexpr std::uint32_t kMaxCrashes = 3;
constexpr std::uint32_t kMaxFurtherStarts = 2;

}  // namespace

FakeWorkers::FakeWorkers(TimerService& timers, Random& random, Options options)
    : timers_(timers), random_(random), options_(std::move(options)) {}

void FakeWorkers::Add(const WorkerAddress& worker, const TaskSize& capacity,
                      double drift) {
  Worker& it = workers_[worker.address];
  it.address = worker;
  it.capacity = capacity;
  it.drift = drift;
  it.born = timers_.Now();
}

std::int64_t FakeWorkers::ClockMs(const Worker& worker) const {
  return static_cast<std::int64_t>(
      static_cast<double>(ToMillis(timers_.Now() - worker.born)) *
      (1 + worker.drift));
}

void FakeWorkers::Crash(const WorkerId& worker) { EndLife(worker, false); }

void FakeWorkers::CrashSilently(const WorkerId& worker) {
  Crash(worker);
  for (auto& [address, it] : workers_) {
    if (it.address.id == worker) it.has_silent_connections = true;
  }
}

void FakeWorkers::EndByOrder(const WorkerId& worker) { EndLife(worker, true); }

void FakeWorkers::EndLife(const WorkerId& worker, bool is_by_order) {
  for (auto& [address, it] : workers_) {
    if (it.address.id != worker) continue;
    for (auto& [key, run] : it.running) {
      RunRecord& record = runs_[run.record];
      record.ended = timers_.Now();
      record.outcome = RunOutcome::kLeaseExpired;
      record.is_by_order = is_by_order;
      if (is_by_order) CheckAvailability(it, record);
    }
    Worker fresh;
    fresh.address = it.address;
    fresh.capacity = it.capacity;
    fresh.drift = it.drift;
    fresh.is_draining = it.is_draining;
    fresh.life = it.life + 1;
    fresh.is_up = false;
    it = fresh;
  }
}

void FakeWorkers::Restart(const WorkerId& worker,
                          const std::optional<TaskSize>& capacity) {
  for (auto& [address, it] : workers_) {
    if (it.address.id != worker) continue;
    it.is_up = true;
    it.born = timers_.Now();
    it.capacity = capacity.value_or(it.capacity);
  }
  if (options_.on_entry_change) options_.on_entry_change(worker);
}

void FakeWorkers::SetCapacity(const WorkerId& worker,
                              const TaskSize& capacity) {
  for (auto& [address, it] : workers_) {
    if (it.address.id != worker) continue;
    it.former_capacities.emplace_back(timers_.Now() + kCapacityNotice,
                                      it.capacity);
    it.capacity = capacity;
  }
  if (options_.on_entry_change) options_.on_entry_change(worker);
}

std::int64_t FakeWorkers::StartedMs(const Worker& worker) {
  return ToMillis(worker.born.time_since_epoch()) + 1;
}

WorkerSpec FakeWorkers::Spec(const WorkerId& worker) const {
  WorkerSpec spec{.id = worker};
  for (const auto& [address, it] : workers_) {
    if (it.address.id != worker) continue;
    spec.capacity = it.capacity;
    spec.is_draining = it.is_draining;
    spec.started_ms = StartedMs(it);
  }
  return spec;
}

void FakeWorkers::SetCut(const WorkerId& worker, bool is_cut) {
  for (auto& [address, it] : workers_) {
    if (it.address.id == worker) it.is_cut = is_cut;
  }
}

void FakeWorkers::SetRefusing(const WorkerId& worker, bool is_refusing) {
  for (auto& [address, it] : workers_) {
    if (it.address.id == worker) it.is_refusing = is_refusing;
  }
}

void FakeWorkers::SetClosing(const WorkerId& worker, bool is_closing) {
  for (auto& [address, it] : workers_) {
    if (it.address.id == worker) it.is_closing = is_closing;
  }
}

void FakeWorkers::SetDraining(const WorkerId& worker, bool is_draining) {
  for (auto& [address, it] : workers_) {
    if (it.address.id == worker) it.is_draining = is_draining;
  }
}

void FakeWorkers::SetLongRunning(const JobId& job, std::uint32_t step,
                                 std::uint32_t tasks,
                                 std::uint32_t max_unavailable) {
  long_running_[{job, step}] = {tasks, max_unavailable, timers_.Now()};
}

void FakeWorkers::SetCancelled(const JobId& job) {
  cancelled_.try_emplace(job, timers_.Now());
}

const FakeWorkers::LongRunning* FakeWorkers::FindLongRunning(
    const TaskKey& key) const {
  const auto it = long_running_.find({key.job, key.step});
  return it == long_running_.end() ? nullptr : &it->second;
}

void FakeWorkers::Violate(const std::string& text) {
  violations_.push_back(
      text + " at " +
      std::to_string(ToMillis(timers_.Now().time_since_epoch())));
}

void FakeWorkers::CheckLease(Worker& worker) {
  if (ClockMs(worker) < worker.deadline_ms) return;
  for (const auto& [number, record] : worker.ended_records)
    runs_[record].has_lapsed |= !runs_[record].is_acknowledged;
  const auto running = worker.running;
  for (const auto& [key, run] : running)
    End(worker, key, RunOutcome::kLeaseExpired);
}

void FakeWorkers::Extend(Worker& worker, std::int64_t deadline_ms) {
  const std::int64_t longest =
      ClockMs(worker) + ToMillis(options_.longest_lease);
  const std::int64_t before = worker.deadline_ms;
  worker.deadline_ms =
      std::max(worker.deadline_ms, std::min(deadline_ms, longest));
  if (worker.deadline_ms == before) return;
  const auto left =
      std::chrono::milliseconds(worker.deadline_ms - ClockMs(worker));
  // A little later, so that the worker's own clock has passed the deadline.
  timers_.ScheduleAfter(
      std::chrono::duration_cast<Duration>(left / (1 + worker.drift)) +
          kLeaseCheck,
      [this, address = worker.address.address] {
        CheckLease(workers_.at(address));
      });
}

void FakeWorkers::CheckStart(const Worker& worker, const TaskKey& key,
                             bool is_late) {
  std::string what = ToText(key) + " on " + worker.address.id.value();
  if (is_late) {
    if (!options_.checks_first_moments && !worker.was_called &&
        ClockMs(worker) < ToMillis(kFirstCallDelay))
      return;
    what += " by a late order " + std::to_string(ClockMs(worker)) +
            " ms after the worker's start" +
            (worker.was_called ? "" : ", before its first call");
  }
  for (const RunRecord& it : runs_) {
    if (it.key != key) continue;
    if (it.ended == Instant::max()) {
      Violate("TWICE: two runs of " + what + " and " + it.worker.value());
    } else if (it.outcome == RunOutcome::kDone && it.is_acknowledged) {
      Violate("TWICE: started after its acknowledged end: " + what);
    }
  }
  const auto cancelled = cancelled_.find(key.job);
  if (!is_late && cancelled != cancelled_.end() &&
      timers_.Now() - cancelled->second > kCancelTime)
    Violate("UNASKED: started after its cancellation: " + what);
  CheckCapacity(worker, key);
  CheckCap(key);
}

void FakeWorkers::SetCap(const std::string& workspace,
                         std::uint64_t cpu_millis) {
  auto& caps = caps_[workspace];
  if (!caps.empty()) caps.back().first = timers_.Now() + kCapacityNotice;
  caps.emplace_back(Instant::max(), cpu_millis);
}

void FakeWorkers::CheckCap(const TaskKey& key) {
  const auto workspace = workspaces_.find(key.job);
  if (workspace == workspaces_.end()) return;
  std::uint64_t used = 0;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [running, run] : worker.running) {
      const auto it = workspaces_.find(running.job);
      if (it != workspaces_.end() && it->second == workspace->second)
        used += sizes_[running.job].cpu_millis;
    }
  }
  std::uint64_t most = 0;
  for (const auto& [until, cap] : caps_[workspace->second])
    if (timers_.Now() <= until) most = std::max(most, cap);
  // What runs before this start, which is the one task more.
  if (used > most + most / 10) {
    Violate("QUOTA: " + workspace->second + " runs " + std::to_string(used) +
            " of " + std::to_string(most) + " before the start of " +
            ToText(key));
  }
}

void FakeWorkers::CheckCapacity(const Worker& worker, const TaskKey& key) {
  TaskSize used;
  const auto add = [&](const JobId& job) {
    const auto size = sizes_.find(job);
    if (size == sizes_.end()) return;
    used.cpu_millis += size->second.cpu_millis;
    used.memory_mb += size->second.memory_mb;
  };
  for (const auto& [running, run] : worker.running) add(running.job);
  add(key.job);
  TaskSize most = worker.capacity;
  for (const auto& [until, capacity] : worker.former_capacities) {
    if (timers_.Now() > until) continue;
    most.cpu_millis = std::max(most.cpu_millis, capacity.cpu_millis);
    most.memory_mb = std::max(most.memory_mb, capacity.memory_mb);
  }
  if (used.cpu_millis > most.cpu_millis || used.memory_mb > most.memory_mb) {
    Violate("LIMIT: over capacity: " + ToText(key) + " on " +
            worker.address.id.value());
  }
}

void FakeWorkers::ScheduleCrash(const Worker& worker, const TaskKey& key,
                                std::uint32_t run) {
  CrashCount& count = crash_counts_[key];
  if (count.crashes >= kMaxCrashes &&
      ++count.further_starts > kMaxFurtherStarts) {
    Violate("BUDGET: " + std::to_string(count.further_starts) +
            " starts after " + std::to_string(count.crashes) + " crashes of " +
            ToText(key));
  }
  timers_.ScheduleAfter(kCrashDelay, [this, address = worker.address, key, run,
                                      life = worker.life] {
    const Worker& it = workers_.at(address.address);
    const auto found = it.running.find(key);
    if (it.life != life || found == it.running.end() ||
        found->second.run != run)
      return;
    ++crash_counts_[key].crashes;
    Crash(address.id);
    timers_.ScheduleAfter(options_.restart_time, [this, address, life] {
      if (workers_.at(address.address).life == life + 1) Restart(address.id);
    });
  });
}

void FakeWorkers::CheckAvailability(const Worker& worker,
                                    const RunRecord& record) {
  const LongRunning* const step = FindLongRunning(record.key);
  const bool is_checked = step != nullptr && step->max_unavailable > 0 &&
                          !worker.is_draining && !worker.is_cut &&
                          !cancelled_.contains(record.key.job);
  if (!is_checked) return;
  const Instant now = timers_.Now();
  std::uint32_t away = 0;
  for (std::uint32_t i = 0; i < step->tasks; ++i) {
    if (i == record.key.index) continue;
    TaskKey key = record.key;
    key.index = i;
    const RunRecord* last = nullptr;
    bool is_at_work = false;
    for (const RunRecord& it : runs_) {
      if (it.key != key) continue;
      is_at_work |= it.ended == Instant::max();
      if (last == nullptr || it.ended > last->ended) last = &it;
    }
    if (is_at_work) continue;
    const Instant since = last == nullptr ? step->since : last->ended;
    const bool is_by_order = last != nullptr && last->is_by_order;
    away += is_by_order || now - since >= kNoticeTime;
  }
  if (away >= step->max_unavailable) {
    Violate("AVAIL: " + ToText(record.key) + " " + ToText(record.outcome) +
            " on " + record.worker.value() + " while " + std::to_string(away) +
            " others of its step are away");
  }
}

StartResponse FakeWorkers::Start(Worker& worker, const StartRequest& call,
                                 bool is_late) {
  CheckLease(worker);
  worker.was_called |= !is_late;
  const std::int64_t clock = ClockMs(worker);
  if (call.token.value() < worker.token) return {StartOutcome::kFenced, clock};
  worker.token = call.token.value();
  if (call.deadline_ms <= clock) return {StartOutcome::kDeadlinePassed, clock};
  Extend(worker, call.deadline_ms);
  const auto running = worker.running.find(call.key);
  if (running != worker.running.end() && running->second.run == call.run)
    return {StartOutcome::kStarted, clock};
  const auto highest = worker.highest_ended.find(call.key);
  const bool is_old =
      (highest != worker.highest_ended.end() && highest->second >= call.run) ||
      (running != worker.running.end() && running->second.run > call.run);
  if (is_old) return {StartOutcome::kStaleRun, clock};
  CheckStart(worker, call.key, is_late);
  runs_.push_back({.worker = worker.address.id,
                   .key = call.key,
                   .run = call.run,
                   .began = timers_.Now()});
  worker.running[call.key] = {runs_.size() - 1, call.run};
  if (options_.crashes_worker && options_.crashes_worker(call.key))
    ScheduleCrash(worker, call.key, call.run);
  if (FindLongRunning(call.key) != nullptr)
    return {StartOutcome::kStarted, clock};
  const Duration time = options_.run_time(call.key, call.run);
  timers_.ScheduleAfter(
      time, [this, address = worker.address.address, key = call.key,
             run = call.run, life = worker.life] {
        Worker& it = workers_.at(address);
        if (it.life != life) return;
        CheckLease(it);
        const auto found = it.running.find(key);
        if (found == it.running.end() || found->second.run != run ||
            found->second.is_stopping)
          return;
        const bool has_failed =
            options_.fails && options_.fails(it.address.id, key, run);
        End(it, key, has_failed ? RunOutcome::kFailed : RunOutcome::kDone);
      });
  return {StartOutcome::kStarted, clock};
}

std::optional<StartResponse> FakeWorkers::RejectSome(Worker& worker,
                                                     const StartRequest& call,
                                                     double share) {
  if (share <= 0 || !random_.Chance(share)) return std::nullopt;
  CheckLease(worker);
  const std::int64_t clock = ClockMs(worker);
  const auto running = worker.running.find(call.key);
  const bool is_there =
      running != worker.running.end() && running->second.run == call.run;
  const auto highest = worker.highest_ended.find(call.key);
  const bool has_ended =
      highest != worker.highest_ended.end() && highest->second >= call.run;
  // No worker lacks the room for a run that is there.
  const std::uint64_t reasons = is_there || has_ended ? 2 : 3;
  const std::uint64_t reason = random_.Below(reasons);
  // An unhealthy worker does nothing, not even look at the token.
  if (reason != 0) {
    if (call.token.value() < worker.token)
      return StartResponse{StartOutcome::kFenced, clock};
    worker.token = call.token.value();
    worker.was_called = true;
  }
  rejected_copies_ += is_there;
  if (reason == 0) return StartResponse{StartOutcome::kUnhealthy, 0};
  if (reason == 1) return StartResponse{StartOutcome::kDeadlinePassed, clock};
  Extend(worker, call.deadline_ms);
  return StartResponse{StartOutcome::kNoRoom, clock};
}

Result<std::int64_t> FakeWorkers::Stop(Worker& worker, const TaskKey& key,
                                       std::uint32_t run, FencingToken token,
                                       bool is_late) {
  CheckLease(worker);
  worker.was_called |= !is_late;
  if (token.value() < worker.token) return Unexpected(WorkerError::kFenced);
  worker.token = token.value();
  auto& highest = worker.highest_ended[key];
  highest = std::max(highest, run);
  const auto running = worker.running.find(key);
  if (running != worker.running.end() && running->second.run <= run &&
      !running->second.is_stopping) {
    running->second.is_stopping = true;
    running->second.is_late_stop = is_late;
    timers_.ScheduleAfter(options_.stop_time,
                          [this, address = worker.address.address, key,
                           life = worker.life, stopped = running->second.run] {
                            Worker& it = workers_.at(address);
                            const auto found = it.running.find(key);
                            if (it.life == life && found != it.running.end() &&
                                found->second.run == stopped)
                              End(it, key, RunOutcome::kStopped);
                          });
  }
  return ClockMs(worker);
}

Result<WorkerReport> FakeWorkers::Renew(Worker& worker,
                                        const RenewRequest& call,
                                        bool is_late) {
  CheckLease(worker);
  worker.was_called |= !is_late;
  late_renewals_ += is_late;
  if (call.token.value() < worker.token)
    return Unexpected(WorkerError::kFenced);
  worker.token = call.token.value();
  if (call.deadline_ms) Extend(worker, *call.deadline_ms);
  while (!worker.ended.empty() &&
         worker.ended.begin()->first <= call.acknowledged_up_to) {
    const std::uint64_t number = worker.ended.begin()->first;
    Acknowledge(runs_[worker.ended_records[number]]);
    worker.ended_records.erase(number);
    worker.ended.erase(worker.ended.begin());
  }
  WorkerReport report;
  report.clock_ms = ClockMs(worker);
  report.started_ms = StartedMs(worker);
  for (const auto& [key, run] : worker.running)
    report.running.push_back({.key = key, .run = run.run});
  for (const auto& [number, end] : worker.ended) {
    if (report.ended.size() == options_.ends_per_answer) break;
    report.ended.push_back(end);
  }
  // As the adapter marks each list of the longest length.
  report.may_lack_ends = report.ended.size() >= options_.ends_per_answer;
  return report;
}

void FakeWorkers::Acknowledge(RunRecord& record) {
  record.is_acknowledged = !record.has_lapsed;
  if (!record.is_acknowledged || record.outcome != RunOutcome::kDone) return;
  for (const RunRecord& it : runs_) {
    if (it.key == record.key && it.began >= record.ended) {
      Violate("TWICE: started before the acknowledgement of its end: " +
              ToText(it.key) + " on " + it.worker.value());
    }
  }
}

void FakeWorkers::End(Worker& worker, const TaskKey& key, RunOutcome outcome) {
  const Run run = worker.running.at(key);
  worker.running.erase(key);
  auto& highest = worker.highest_ended[key];
  highest = std::max(highest, run.run);
  RunRecord& record = runs_[run.record];
  record.ended = timers_.Now();
  record.outcome = outcome;
  record.is_by_order =
      outcome == RunOutcome::kStopped ||
      (outcome == RunOutcome::kLeaseExpired && options_.is_calm);
  if (record.is_by_order && !run.is_late_stop)
    CheckAvailability(worker, record);
  const std::uint64_t number = worker.next_end++;
  worker.ended_records[number] = run.record;
  worker.ended[number] = {
      .number = number, .key = key, .run = run.run, .outcome = outcome};
}

}  // namespace pomelomill
