#include "naive_scheduler.h"

namespace pomelomill {
namespace {

// Shares are quotients of sums of doubles.
constexpr double kShareTolerance = 1e-9;

}  // namespace

double NaiveScheduler::Capacity() const {
  double sum = 0;
  for (const auto& [id, it] : workers) sum += it.capacity.cores;
  return sum;
}

bool NaiveScheduler::IsPlaceable(const NaiveTask& task) const {
  if (task.is_urgent &&
      urgent_cores + task.size.cores > max_urgent_share * Capacity())
    return false;
  for (const auto& [id, it] : workers) {
    if (Fits(task.size, it.capacity - it.held)) return true;
  }
  return false;
}

double NaiveScheduler::Quota(const TeamId& team) const {
  double sum = 0;
  for (const auto& [id, it] : teams) sum += it.quota;
  const double scale = sum > Capacity() ? Capacity() / sum : 1;
  return teams.at(team).quota * scale;
}

double NaiveScheduler::Share(const TeamId& team) const {
  const NaiveTeam& it = teams.at(team);
  const double quota = Quota(team);
  if (it.used < quota) return it.used / quota;
  return 1 + (it.used - quota) / it.weight;
}

bool NaiveScheduler::IsBefore(const NaiveTask& a, const NaiveTask& b) const {
  if (a.is_urgent != b.is_urgent) return a.is_urgent;
  if (a.is_urgent || a.team == b.team) return a.sequence < b.sequence;
  return Share(a.team) < Share(b.team) - kShareTolerance;
}

void NaiveScheduler::Place(const NaiveTask& task, const std::string& worker) {
  NaiveWorker& it = workers[worker];
  it.held = it.held + task.size;
  teams[task.team].used += task.size.cores;
  if (task.is_urgent) urgent_cores += task.size.cores;
}

const NaiveTask* NaiveScheduler::Next(
    const std::vector<NaiveTask>& waiting) const {
  const NaiveTask* first = nullptr;
  for (const NaiveTask& it : waiting) {
    if (IsPlaceable(it) && (first == nullptr || IsBefore(it, *first)))
      first = &it;
  }
  return first;
}

}  // namespace pomelomill
