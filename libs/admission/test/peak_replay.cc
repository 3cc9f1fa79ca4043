#include "peak_replay.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>

#include "pomelomill/admission.h"
#include "pomelomill/base/random.h"
#include "pomelomill/dispatch.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kWorkers = 6;
/// The first workers are those of one rack.
constexpr std::ptrdiff_t kWorkersOfRack = 2;
constexpr std::uint32_t kWorkerCpuMillis = 32'000;
constexpr int kPeriodMs = 23'400;
constexpr int kPeakMs = 4'500;
/// Demand between the peaks: a twentieth of the mean, which is a fifth of that
/// during a peak.
constexpr double kOffPeakShare = 1.0 / 100;
constexpr int kStepMs = 5;
/// Time after the last submission.
constexpr int kTailMs = 60'000;
constexpr std::size_t kEntries = 4;
constexpr int kMaxRetries = 4;
constexpr int kExpiryFactor = 3;
constexpr int kPublishMs = 200;
/// From a change of the backlog to the views of the entries.
constexpr int kWatchDelayMs = 20;
/// An entry that has not heard of the store for this long ignores backlogs.
constexpr int kMaxContactAgeMs = 3'000;

const PoolId kPool("p");
const QueuePolicy kPolicy{
    .max_attempts = 3, .stretch = 1.6, .target_latency = milliseconds(600)};

struct ReplayedJob {
  AddedJob added;
  std::size_t queue = 0;
  int at_ms = 0;
  /// True run times, by step and index; the estimates are off by up to 90%.
  std::vector<std::vector<int>> run_ms;
  double work = 0;
  int objective_ms = 0;
  std::optional<int> ended_ms;
  bool is_admitted = false;
  bool was_told_to_return = false;
};

struct Attempt {
  int at_ms = 0;
  std::size_t job = 0;
  int number = 0;
  bool operator>(const Attempt& other) const {
    return std::pair(at_ms, job) > std::pair(other.at_ms, other.job);
  }
};

struct RunEnd {
  int at_ms = 0;
  StartOrder start;
  std::int64_t incarnation = 0;
  bool operator>(const RunEnd& other) const { return at_ms > other.at_ms; }
};

template <typename T>
using Earliest = std::priority_queue<T, std::vector<T>, std::greater<>>;

ReplayedJob MakeJob(Random& random, std::size_t number, std::size_t queue,
                    int at_ms) {
  ReplayedJob job;
  job.queue = queue;
  job.at_ms = at_ms;
  auto spec = std::make_shared<JobSpec>();
  const bool is_narrow = queue == 1;
  const int steps = is_narrow ? 1 : 1 + static_cast<int>(random.Below(3));
  int critical_path_ms = 0;
  for (int s = 0; s < steps; ++s) {
    StepSpec step;
    step.tasks =
        1 + static_cast<std::uint32_t>(random.Exponential(is_narrow ? 2 : 7));
    step.tasks = std::min<std::uint32_t>(step.tasks, 32);
    step.size = {
        .cpu_millis = 2'000 + static_cast<std::uint32_t>(random.Below(4'000)),
        .memory_mb = 1'000};
    if (s > 0) step.after = {static_cast<std::uint32_t>(s - 1)};
    std::vector<int> run_ms;
    for (std::uint32_t i = 0; i < step.tasks; ++i) {
      run_ms.push_back(700 + static_cast<int>(random.Below(2'000)));
      job.work += run_ms.back() * step.size.cpu_millis;
    }
    critical_path_ms += *std::max_element(run_ms.begin(), run_ms.end());
    step.estimate =
        milliseconds(static_cast<int>(1'700 * (0.3 + 1.6 * random.Unit())));
    job.run_ms.push_back(std::move(run_ms));
    spec->steps.push_back(step);
  }
  job.objective_ms = static_cast<int>(critical_path_ms * kPolicy.stretch) +
                     static_cast<int>(ToMillis(kPolicy.target_latency));
  job.added.id = JobId(std::to_string(number));
  job.added.queue = QueueId("q" + std::to_string(queue));
  job.added.spec = spec;
  return job;
}

std::vector<ReplayedJob> MakeLoad(const ReplayOptions& options) {
  Random random(options.seed);
  std::vector<ReplayedJob> jobs;
  double at = random.Exponential(1'000 / options.peak_per_s);
  while (at < options.peaks * kPeriodMs) {
    const bool is_peak = std::fmod(at, kPeriodMs) < kPeakMs;
    if (is_peak || random.Chance(kOffPeakShare))
      jobs.push_back(MakeJob(random, jobs.size(), jobs.size() % options.queues,
                             static_cast<int>(at)));
    at += random.Exponential(1'000 / options.peak_per_s);
  }
  return jobs;
}

/// The backlog in the store, as BacklogPublisher keeps it.
class PublishedBacklog {
 public:
  void Update(int ms, const std::optional<PoolBacklog>& backlog) {
    const Duration delay = backlog ? backlog->DrainTime() : Duration(0);
    const bool has_backlog = delay >= kMinBacklog;
    if (has_backlog == stored_.has_value() &&
        (!has_backlog || std::chrono::abs(delay - stored_->DrainTime()) <=
                             stored_->DrainTime() / 4))
      return;
    stored_ = has_backlog ? backlog : std::nullopt;
    updates_.emplace_back(ms + kWatchDelayMs, stored_);
  }
  void Remove(int ms) { Update(ms, std::nullopt); }

  /// What the entries see.
  const PoolBacklog* View(int ms) {
    for (; !updates_.empty() && updates_.front().first <= ms;
         updates_.erase(updates_.begin()))
      view_ = updates_.front().second;
    return view_ ? &*view_ : nullptr;
  }

 private:
  std::optional<PoolBacklog> stored_;
  std::vector<std::pair<int, std::optional<PoolBacklog>>> updates_;
  std::optional<PoolBacklog> view_;
};

class Simulation {
 public:
  explicit Simulation(const ReplayOptions& options)
      : options_(options),
        random_(options.seed + 1'000),
        jobs_(MakeLoad(options)) {
    for (std::size_t i = 0; i < options.queues; ++i)
      dispatcher_.SetQueue(QueueId("q" + std::to_string(i)), {kPolicy});
    for (std::size_t i = 0; i < kEntries; ++i) books_.emplace_back(random_);
    for (std::size_t i = 0; i < kWorkers; ++i) {
      workers_.push_back(
          {.id = WorkerId("w" + std::to_string(i)),
           .capacity = {kWorkerCpuMillis, 1'000'000, 0},
           .rack = RackId(
               static_cast<std::ptrdiff_t>(i) < kWorkersOfRack ? "a" : "b")});
    }
    dispatcher_.SetListedWorkers(workers_);
    for (const WorkerSpec& it : workers_) Report(it.id, nullptr, 0);
    for (std::size_t i = 0; i < jobs_.size(); ++i)
      attempts_.push({jobs_[i].at_ms, i, 0});
  }

  ReplayResult Run() {
    const int last_ms = options_.peaks * kPeriodMs + kTailMs;
    for (int ms = 0; ms < last_ms; ms += kStepMs) {
      if (options_.fault == ReplayOptions::Fault::kRackDown) MoveRack(ms);
      EndRuns(ms);
      if (!IsStoreAway(ms)) {
        StoreProgress(ms);
        last_contact_ms_ = ms;
        if (options_.uses_admission && ms % kPublishMs == 0) Publish(ms);
      }
      for (; !attempts_.empty() && attempts_.top().at_ms <= ms; attempts_.pop())
        Submit(attempts_.top(), ms);
      if (HasOwner(ms)) StartRuns(ms);
    }
    return CountResults();
  }

 private:
  static Instant At(int ms) { return Instant{milliseconds(ms)}; }
  /// Time since the begin of the latest peak.
  static int PhaseOf(int ms) { return ms % kPeriodMs; }
  bool IsStoreAway(int ms) const {
    return options_.fault == ReplayOptions::Fault::kStoreAway &&
           PhaseOf(ms) >= 1'000 && PhaseOf(ms) < 4'000;
  }
  bool IsBetween(int ms, int first, int last) const {
    return options_.fault == ReplayOptions::Fault::kOwnerReplaced &&
           PhaseOf(ms) >= first && PhaseOf(ms) < last;
  }
  bool HasOwner(int ms) const { return !IsBetween(ms, 2'000, 3'500); }

  void Report(const WorkerId& worker, const StartOrder* end, int ms) {
    WorkerReport it{.clock_ms = ++clock_,
                    .started_ms = incarnations_[worker] + 1};
    if (end != nullptr) {
      running_[worker].erase(end->key);
      it.ended.push_back({.number = ++ends_[worker],
                          .key = end->key,
                          .run = end->run,
                          .outcome = RunOutcome::kDone});
    }
    for (const auto& [key, run] : running_[worker])
      it.running.push_back({.key = key, .run = run});
    dispatcher_.OnReport(worker, it, At(ms), 0);
  }

  void MoveRack(int ms) {
    const bool is_lost = PhaseOf(ms) >= 2'000 && PhaseOf(ms) < 12'000;
    if (is_lost == is_rack_lost_) return;
    is_rack_lost_ = is_lost;
    std::vector<WorkerSpec> listed(
        workers_.begin() + (is_lost ? kWorkersOfRack : 0), workers_.end());
    dispatcher_.SetListedWorkers(listed);
    for (auto it = workers_.begin(); it != workers_.begin() + kWorkersOfRack;
         ++it) {
      const WorkerId& id = it->id;
      if (is_lost) {
        ++incarnations_[id];
        running_[id].clear();
        ends_[id] = 0;
        dispatcher_.OnWorkerGone(id, WorkerLoss::kLeaseExpired, At(ms), 0);
      } else {
        Report(id, nullptr, ms);
      }
    }
  }

  void EndRuns(int ms) {
    for (; !run_ends_.empty() && run_ends_.top().at_ms <= ms; run_ends_.pop()) {
      const RunEnd& end = run_ends_.top();
      if (end.incarnation == incarnations_[end.start.worker])
        Report(end.start.worker, &end.start, ms);
    }
  }

  void StoreProgress(int ms) {
    const ProgressBatch batch = dispatcher_.TakeBatch();
    for (const auto& it : batch.writes) {
      if (it.progress.phase == JobPhase::kComplete)
        jobs_[std::stoul(it.job.value())].ended_ms = ms;
    }
    dispatcher_.OnStored(batch.number);
  }

  void StartRuns(int ms) {
    for (const StartOrder& it : dispatcher_.Plan(At(ms), 0).starts) {
      const ReplayedJob& job = jobs_[std::stoul(it.key.job.value())];
      running_[it.worker][it.key] = it.run;
      dispatcher_.OnStartResult(it.worker, it.key, it.run,
                                StartOutcome::kStarted, ++clock_, At(ms));
      dispatcher_.OnStartSettled(it.key, it.run, true, At(ms));
      run_ends_.push({ms + 10 + job.run_ms[it.key.step][it.key.index], it,
                      incarnations_[it.worker]});
    }
  }

  void Publish(int ms) {
    if (IsBetween(ms, 2'000, 5'000)) {
      published_.Remove(ms);
    } else {
      published_.Update(ms, dispatcher_.backlog(At(ms)));
    }
  }

  void Submit(const Attempt& attempt, int ms) {
    ReplayedJob& job = jobs_[attempt.job];
    if (IsStoreAway(ms)) return Return(attempt, ms, 1'000);
    const auto rejection = Decide(job, ms);
    if (job.was_told_to_return && attempt.number == 1) {
      ++result_.returned;
      result_.admitted_on_return += !rejection;
    }
    if (!rejection) {
      job.is_admitted = true;
      return dispatcher_.AddJob(job.added, At(ms));
    }
    ++result_.rejections;
    if (dispatcher_.active_jobs() == 0) ++result_.rejected_without_backlog;
    job.was_told_to_return = true;
    const std::uint32_t told = rejection->retry_after_s;
    result_.longest_retry_after_s =
        std::max(result_.longest_retry_after_s, told);
    result_.shortest_retry_after_s =
        result_.shortest_retry_after_s == 0
            ? told
            : std::min(result_.shortest_retry_after_s, told);
    Return(attempt, ms,
           options_.returns_at_once ? 100 : static_cast<int>(told) * 1'000);
  }

  void Return(const Attempt& attempt, int ms, int after_ms) {
    if (attempt.number == kMaxRetries) {
      ++result_.given_up;
      return;
    }
    // Does not depend on the decisions on other jobs, so that two replays
    // differ in these only.
    Random random(options_.seed * 1'000'000 + attempt.job * 10 +
                  static_cast<std::uint64_t>(attempt.number));
    const int jitter_ms = static_cast<int>(random.Below(100));
    attempts_.push(
        {ms + after_ms + jitter_ms, attempt.job, attempt.number + 1});
  }

  std::optional<Rejection> Decide(const ReplayedJob& job, int ms) {
    const bool is_recent = ms - last_contact_ms_ < kMaxContactAgeMs;
    const PoolBacklog* const backlog = published_.View(ms);
    if (!options_.uses_admission || backlog == nullptr || !is_recent)
      return std::nullopt;
    const auto demand =
        DemandOf(*job.added.spec, backlog->MeanRunTimeOf(job.added.queue));
    return books_[random_.Below(kEntries)].Decide(
        {.job = job.added.id,
         .pool = kPool,
         .demand = *demand,
         .policy = kPolicy},
        {.backlog = backlog, .entries = kEntries}, At(ms));
  }

  ReplayResult CountResults() {
    std::vector<double> work;
    for (const ReplayedJob& it : jobs_) work.push_back(it.work);
    std::sort(work.begin(), work.end());
    const double tenth = work[work.size() * 9 / 10];
    const double fifth = work[work.size() * 7 / 10];
    result_.queues.resize(options_.queues);
    for (const ReplayedJob& it : jobs_) {
      const int took =
          it.ended_ms ? *it.ended_ms - it.at_ms : it.objective_ms * 1'000;
      const KindResult counted{
          .jobs = 1,
          .in_time = took <= it.objective_ms ? 1 : 0,
          .served = took <= kExpiryFactor * it.objective_ms ? 1 : 0};
      result_.all += counted;
      result_.queues[it.queue] += counted;
      if (it.work >= tenth) {
        result_.largest_tenth += counted;
      } else if (it.work >= fifth) {
        result_.next_fifth += counted;
      }
    }
    return result_;
  }

  const ReplayOptions options_;
  Random random_;
  std::vector<ReplayedJob> jobs_;
  Dispatcher dispatcher_{DispatcherOptions{}};
  std::vector<WorkerSpec> workers_;
  std::vector<AdmissionBook> books_;
  PublishedBacklog published_;
  Earliest<Attempt> attempts_;
  Earliest<RunEnd> run_ends_;
  std::map<WorkerId, std::map<TaskKey, std::uint32_t>> running_;
  std::map<WorkerId, std::uint64_t> ends_;
  std::map<WorkerId, std::int64_t> incarnations_;
  std::int64_t clock_ = 0;
  int last_contact_ms_ = 0;
  bool is_rack_lost_ = false;
  ReplayResult result_;
};

}  // namespace

KindResult& KindResult::operator+=(const KindResult& other) {
  jobs += other.jobs;
  in_time += other.in_time;
  served += other.served;
  return *this;
}

ReplayResult& ReplayResult::operator+=(const ReplayResult& other) {
  all += other.all;
  largest_tenth += other.largest_tenth;
  next_fifth += other.next_fifth;
  queues.resize(std::max(queues.size(), other.queues.size()));
  for (std::size_t i = 0; i < other.queues.size(); ++i)
    queues[i] += other.queues[i];
  rejections += other.rejections;
  given_up += other.given_up;
  returned += other.returned;
  admitted_on_return += other.admitted_on_return;
  rejected_without_backlog += other.rejected_without_backlog;
  longest_retry_after_s =
      std::max(longest_retry_after_s, other.longest_retry_after_s);
  if (shortest_retry_after_s == 0 ||
      (other.shortest_retry_after_s != 0 &&
       other.shortest_retry_after_s < shortest_retry_after_s))
    shortest_retry_after_s = other.shortest_retry_after_s;
  return *this;
}

ReplayResult Replay(const ReplayOptions& options) {
  return Simulation(options).Run();
}

}  // namespace pomelomill
