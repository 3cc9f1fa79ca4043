#include "placement.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace pomelomill {
namespace {

/// Limit on remembered failed searches; each is compared with every ready step.
constexpr std::size_t kMaxFailedSearches = 64;

bool IsWithin(const TaskSize& size, const TaskSize& limit) {
  return size.cpu_millis <= limit.cpu_millis &&
         size.memory_mb <= limit.memory_mb && size.gpus <= limit.gpus;
}

TaskSize FreeCapacity(const PoolWorker& worker) {
  const TaskSize& all = worker.spec.capacity;
  const TaskSize& used = worker.used;
  return {all.cpu_millis - std::min(all.cpu_millis, used.cpu_millis),
          all.memory_mb - std::min(all.memory_mb, used.memory_mb),
          all.gpus - std::min(all.gpus, used.gpus)};
}

/// Raises each member of `largest` to at least that of `size`.
void RaiseTo(TaskSize& largest, const TaskSize& size) {
  largest.cpu_millis = std::max(largest.cpu_millis, size.cpu_millis);
  largest.memory_mb = std::max(largest.memory_mb, size.memory_mb);
  largest.gpus = std::max(largest.gpus, size.gpus);
}

bool HasLabelOf(const PoolWorker& worker, const StepSpec& step) {
  return step.required_label.empty() || worker.HasLabel(step.required_label);
}

/// Numbers of placed tasks of one step per worker and rack.
struct PlacedTaskCounts {
  std::map<WorkerId, std::uint32_t> on_worker;
  std::map<RackId, std::uint32_t> on_rack;
};

template <typename Id>
std::uint32_t CountAt(const std::map<Id, std::uint32_t>& counts, const Id& id) {
  const auto it = counts.find(id);
  return it == counts.end() ? 0 : it->second;
}

PlacedTaskCounts CountPlacedTasks(const WorkerTable& workers,
                                  const StepState& state) {
  PlacedTaskCounts count;
  for (const TaskState& it : state.tasks) {
    if (!it.is_placed()) continue;
    ++count.on_worker[it.worker];
    const PoolWorker* const worker = workers.Find(it.worker);
    if (worker != nullptr) ++count.on_rack[worker->spec.rack];
  }
  return count;
}

}  // namespace

PlacementSearch::PlacementSearch(WorkerTable& workers, Instant now)
    : workers_(workers), now_(now) {
  examined_ = workers.all().size();
  all_.candidates.reserve(workers.all().size());
  for (auto& [id, worker] : workers.all()) {
    if (worker.is_listed && worker.blocked_until > now) {
      unblocked_at_ = std::min(unblocked_at_.value_or(worker.blocked_until),
                               worker.blocked_until);
    }
    if (!worker.IsUsable(now)) continue;
    const Candidate candidate{FreeCapacity(worker), &worker};
    all_.candidates.push_back(candidate);
    RaiseTo(all_.largest, candidate.free_capacity);
    if (candidate.free_capacity.cpu_millis == 0) continue;
    with_cores_.candidates.push_back(candidate);
    RaiseTo(with_cores_.largest, candidate.free_capacity);
  }
}

bool PlacementSearch::MayFit(const StepSpec& step) const {
  const TaskSize size = CountedSize(step);
  const CandidateList& list = CandidatesFor(size);
  if (list.candidates.empty() || !IsWithin(size, list.largest)) return false;
  return std::none_of(
      failed_searches_.begin(), failed_searches_.end(),
      [&](const FailedSearch& it) {
        return IsWithin(it.size, size) &&
               (it.label.empty() || it.label == step.required_label);
      });
}

bool PlacementSearch::MayFitAll(const StepSpec& step, std::size_t tasks) {
  if (!MayFit(step)) return false;
  const TaskSize size = CountedSize(step);
  std::size_t fitting = 0;
  for (const Candidate& it : CandidatesFor(size).candidates) {
    ++examined_;
    std::size_t fitting_here = tasks;
    if (size.cpu_millis != 0)
      fitting_here = std::min<std::size_t>(
          fitting_here, it.free_capacity.cpu_millis / size.cpu_millis);
    if (size.memory_mb != 0)
      fitting_here = std::min<std::size_t>(
          fitting_here, it.free_capacity.memory_mb / size.memory_mb);
    if (size.gpus != 0)
      fitting_here = std::min<std::size_t>(fitting_here,
                                           it.free_capacity.gpus / size.gpus);
    fitting += fitting_here;
    if (fitting >= tasks) return true;
  }
  return false;
}

bool PlacementSearch::HasAlternative(const StepSpec& step,
                                     const WorkerId& worker) {
  const TaskSize size = CountedSize(step);
  return std::any_of(
      all_.candidates.begin(), all_.candidates.end(), [&](const Candidate& it) {
        ++examined_;
        return it.worker->spec.id != worker && it.worker->CanEverFit(size) &&
               HasLabelOf(*it.worker, step);
      });
}

void PlacementSearch::RecordFailedSearch(const StepSpec& step) {
  const TaskSize size = CountedSize(step);
  if (step.required_label.empty()) {
    CandidateList& list = CandidatesFor(size);
    list.largest = {};
    for (const Candidate& it : list.candidates) {
      ++examined_;
      RaiseTo(list.largest, FreeCapacity(*it.worker));
    }
    if (!IsWithin(size, list.largest)) return;
  }
  if (failed_searches_.size() < kMaxFailedSearches)
    failed_searches_.push_back({size, step.required_label});
}

PoolWorker* PlacementSearch::Choose(const StepSpec& step,
                                    const StepState& state,
                                    const TaskState& task) {
  if (!MayFit(step)) return nullptr;
  const TaskSize size = CountedSize(step);
  const bool avoids_failed_worker = !task.failed_on.empty() &&
                                    now_ < task.avoid_until &&
                                    HasAlternative(step, task.failed_on);
  const bool spreads_tasks = step.is_long_running || step.fills_idle_cores;
  PlacedTaskCounts placed_counts;
  if (step.max_per_worker != 0 || step.is_long_running ||
      step.prefers_one_rack) {
    placed_counts = CountPlacedTasks(workers_, state);
    examined_ += state.tasks.size();
  }
  using Rank =
      std::tuple<std::size_t, bool, bool, std::uint32_t, std::uint32_t, double>;
  PoolWorker* best = nullptr;
  Rank best_rank{};
  bool has_any_fit = false;
  const auto& candidates = CandidatesFor(size).candidates;
  examined_ += candidates.size();
  for (const Candidate& it : candidates) {
    if (!IsWithin(size, it.free_capacity)) continue;
    PoolWorker& worker = *it.worker;
    if (!worker.Fits(size) || !HasLabelOf(worker, step)) continue;
    // Reserved after the search began.
    if (worker.reserved_for) continue;
    has_any_fit = true;
    const bool has_failed_here = task.failed_on == worker.spec.id;
    if (avoids_failed_worker && has_failed_here) continue;
    const std::uint32_t on_worker =
        CountAt(placed_counts.on_worker, worker.spec.id);
    const std::uint32_t on_rack =
        CountAt(placed_counts.on_rack, worker.spec.rack);
    if (step.max_per_worker != 0 && on_worker >= step.max_per_worker) continue;
    const bool is_off_data_rack =
        !step.data_rack.empty() && !worker.HasLabel(step.data_rack);
    const double free_cpu_share =
        worker.spec.capacity.cpu_millis == 0
            ? 0
            : 1.0 - static_cast<double>(worker.used.cpu_millis) /
                        worker.spec.capacity.cpu_millis;
    const std::uint32_t tasks_off_rack =
        step.prefers_one_rack ? step.tasks - std::min(step.tasks, on_rack) : 0;
    const std::size_t suspects =
        task.crashed_runs.empty() ? 0 : worker.crash_suspects.size();
    const Rank rank{suspects,
                    has_failed_here,
                    is_off_data_rack,
                    spreads_tasks ? on_worker : 0,
                    spreads_tasks ? on_rack : tasks_off_rack,
                    free_cpu_share};
    if (best != nullptr && !(rank < best_rank)) continue;
    best = &worker;
    best_rank = rank;
  }
  if (!has_any_fit) RecordFailedSearch(step);
  return best;
}

void PlacementSearch::BeginGang() {
  gang_snapshot_ = {all_.largest, with_cores_.largest, failed_searches_};
}

void PlacementSearch::RollBackGang() {
  all_.largest = gang_snapshot_.largest_of_all;
  with_cores_.largest = gang_snapshot_.largest_with_cores;
  failed_searches_ = gang_snapshot_.failed_searches;
}

}  // namespace pomelomill
