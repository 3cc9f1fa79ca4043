#include "placement.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace pomelomill {
namespace {

/// Misses that are remembered; each is compared with every ready step.
constexpr std::size_t kMaxMisses = 64;

bool IsWithin(const TaskSize& size, const TaskSize& limit) {
  return size.cpu_millis <= limit.cpu_millis &&
         size.memory_mb <= limit.memory_mb && size.gpus <= limit.gpus;
}

TaskSize RoomOf(const PoolWorker& worker) {
  const TaskSize& all = worker.spec.capacity;
  const TaskSize& used = worker.used;
  return {all.cpu_millis - std::min(all.cpu_millis, used.cpu_millis),
          all.memory_mb - std::min(all.memory_mb, used.memory_mb),
          all.gpus - std::min(all.gpus, used.gpus)};
}

void Raise(TaskSize& largest, const TaskSize& room) {
  largest.cpu_millis = std::max(largest.cpu_millis, room.cpu_millis);
  largest.memory_mb = std::max(largest.memory_mb, room.memory_mb);
  largest.gpus = std::max(largest.gpus, room.gpus);
}

bool HasLabelOf(const PoolWorker& worker, const StepSpec& step) {
  return step.required_label.empty() || worker.HasLabel(step.required_label);
}

/// How the tasks of one step are spread.
struct Neighbours {
  std::map<WorkerId, std::uint32_t> on_worker;
  std::map<RackId, std::uint32_t> on_rack;
};

template <typename Id>
std::uint32_t CountAt(const std::map<Id, std::uint32_t>& counts, const Id& id) {
  const auto it = counts.find(id);
  return it == counts.end() ? 0 : it->second;
}

Neighbours CountNeighbours(const WorkerTable& workers, const StepState& state) {
  Neighbours count;
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
    const Candidate candidate{RoomOf(worker), &worker};
    all_.candidates.push_back(candidate);
    Raise(all_.largest, candidate.room);
    if (candidate.room.cpu_millis == 0) continue;
    with_cores_.candidates.push_back(candidate);
    Raise(with_cores_.largest, candidate.room);
  }
}

bool PlacementSearch::MayFit(const StepSpec& step) const {
  const TaskSize size = CountedSize(step);
  const Group& group = GroupFor(size);
  if (group.candidates.empty() || !IsWithin(size, group.largest)) return false;
  return std::none_of(misses_.begin(), misses_.end(), [&](const Miss& it) {
    return IsWithin(it.size, size) &&
           (it.label.empty() || it.label == step.required_label);
  });
}

bool PlacementSearch::MayFitAll(const StepSpec& step, std::size_t tasks) {
  if (!MayFit(step)) return false;
  const TaskSize size = CountedSize(step);
  std::size_t room = 0;
  for (const Candidate& it : GroupFor(size).candidates) {
    ++examined_;
    std::size_t here = tasks;
    if (size.cpu_millis != 0)
      here = std::min<std::size_t>(here, it.room.cpu_millis / size.cpu_millis);
    if (size.memory_mb != 0)
      here = std::min<std::size_t>(here, it.room.memory_mb / size.memory_mb);
    if (size.gpus != 0)
      here = std::min<std::size_t>(here, it.room.gpus / size.gpus);
    room += here;
    if (room >= tasks) return true;
  }
  return false;
}

bool PlacementSearch::HasOthers(const StepSpec& step, const WorkerId& worker) {
  const TaskSize size = CountedSize(step);
  return std::any_of(
      all_.candidates.begin(), all_.candidates.end(), [&](const Candidate& it) {
        ++examined_;
        return it.worker->spec.id != worker && it.worker->CanEverFit(size) &&
               HasLabelOf(*it.worker, step);
      });
}

void PlacementSearch::NoteMiss(const StepSpec& step) {
  const TaskSize size = CountedSize(step);
  if (step.required_label.empty()) {
    Group& group = GroupFor(size);
    group.largest = {};
    for (const Candidate& it : group.candidates) {
      ++examined_;
      Raise(group.largest, RoomOf(*it.worker));
    }
    if (!IsWithin(size, group.largest)) return;
  }
  if (misses_.size() < kMaxMisses)
    misses_.push_back({size, step.required_label});
}

PoolWorker* PlacementSearch::Choose(const StepSpec& step,
                                    const StepState& state,
                                    const TaskState& task) {
  if (!MayFit(step)) return nullptr;
  const TaskSize size = CountedSize(step);
  const bool avoids = !task.failed_on.empty() && now_ < task.avoid_until &&
                      HasOthers(step, task.failed_on);
  const bool spreads = step.is_long_running || step.fills_idle_cores;
  Neighbours near;
  if (step.max_per_worker != 0 || step.is_long_running ||
      step.prefers_one_rack) {
    near = CountNeighbours(workers_, state);
    examined_ += state.tasks.size();
  }
  using Rank = std::tuple<bool, bool, std::uint32_t, std::uint32_t, double>;
  PoolWorker* best = nullptr;
  Rank best_rank{};
  bool has_fit = false;
  const auto& candidates = GroupFor(size).candidates;
  examined_ += candidates.size();
  for (const Candidate& it : candidates) {
    if (!IsWithin(size, it.room)) continue;
    PoolWorker& worker = *it.worker;
    if (!worker.Fits(size) || !HasLabelOf(worker, step)) continue;
    has_fit = true;
    const bool has_failed = task.failed_on == worker.spec.id;
    if (avoids && has_failed) continue;
    const std::uint32_t on_worker = CountAt(near.on_worker, worker.spec.id);
    const std::uint32_t on_rack = CountAt(near.on_rack, worker.spec.rack);
    if (step.max_per_worker != 0 && on_worker >= step.max_per_worker) continue;
    const bool is_far =
        !step.data_rack.empty() && !worker.HasLabel(step.data_rack);
    const double free =
        worker.spec.capacity.cpu_millis == 0
            ? 0
            : 1.0 - static_cast<double>(worker.used.cpu_millis) /
                        worker.spec.capacity.cpu_millis;
    const std::uint32_t off_rack =
        step.prefers_one_rack ? step.tasks - std::min(step.tasks, on_rack) : 0;
    const Rank rank{has_failed, is_far, spreads ? on_worker : 0,
                    spreads ? on_rack : off_rack, free};
    if (best != nullptr && !(rank < best_rank)) continue;
    best = &worker;
    best_rank = rank;
  }
  if (!has_fit) NoteMiss(step);
  return best;
}

void PlacementSearch::BeginGang() {
  before_gang_ = {all_.largest, with_cores_.largest, misses_};
}

void PlacementSearch::RollBackGang() {
  all_.largest = before_gang_.largest_of_all;
  with_cores_.largest = before_gang_.largest_with_cores;
  misses_ = before_gang_.misses;
}

}  // namespace pomelomill
