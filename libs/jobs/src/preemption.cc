#include "pomelomill/jobs/preemption.h"

#include <algorithm>
#include <tuple>

namespace pomelomill {
namespace {

struct WorkerPlan {
  bool is_feasible = false;
  std::vector<VictimOption> victims;
  std::uint32_t stops = 0;
  double cost = 0;
};

bool IsStop(const VictimOption& option) {
  return option.operation == TaskOperation::kStop;
}

// Greedy choice by stops and cost, then removal of victims that turn out not
// to be needed. Not always the optimum, but linear in the tasks of a worker.
WorkerPlan PlanOnWorker(const Resources& headroom, const Resources& size,
                        std::vector<VictimOption> options) {
  std::sort(options.begin(), options.end(),
            [](const VictimOption& a, const VictimOption& b) {
              return std::tuple(IsStop(a), a.cost, a.place) <
                     std::tuple(IsStop(b), b.cost, b.place);
            });
  WorkerPlan plan;
  Resources room = headroom;
  for (const VictimOption& it : options) {
    if (Fits(size, room)) break;
    const auto same = std::find_if(
        plan.victims.begin(), plan.victims.end(),
        [&](const VictimOption& v) { return v.place == it.place; });
    if (same != plan.victims.end()) {
      // A throttle was not enough; the checkpoint or stop replaces it.
      if (Fits(it.frees, same->frees)) continue;
      room = room - same->frees;
      plan.victims.erase(same);
    }
    const Resources missing = size - room;
    const bool helps =
        (missing.cores > kResourceTolerance && it.frees.cores > 0) ||
        (missing.memory_mb > kResourceTolerance && it.frees.memory_mb > 0) ||
        (missing.accelerators > kResourceTolerance &&
         it.frees.accelerators > 0);
    if (!helps) continue;
    room = room + it.frees;
    plan.victims.push_back(it);
  }
  if (!Fits(size, room)) return plan;
  for (auto it = plan.victims.rbegin(); it != plan.victims.rend();) {
    if (Fits(size, room - it->frees)) {
      room = room - it->frees;
      it = std::make_reverse_iterator(plan.victims.erase(std::next(it).base()));
    } else {
      ++it;
    }
  }
  plan.is_feasible = true;
  for (const VictimOption& it : plan.victims) {
    plan.stops += IsStop(it) ? 1 : 0;
    plan.cost += it.cost;
  }
  return plan;
}

}  // namespace

PreemptionPlan PlanPreemption(
    const PlaceLedger& ledger, const Resources& size,
    const VictimOptions& options,
    const std::function<bool(WorkerIndex)>& is_allowed, WorkerIndex first,
    std::uint32_t max_candidates) {
  PreemptionPlan best;
  const auto n = static_cast<WorkerIndex>(ledger.workers().size());
  std::uint32_t candidates = 0;
  for (WorkerIndex k = 0; k < n && candidates < max_candidates; ++k) {
    const WorkerIndex i = (first + k) % n;
    const WorkerRoom& room = ledger.worker(i);
    if (!room.is_listed || !Fits(size, room.capacity) || !is_allowed(i))
      continue;
    const Resources headroom = room.Headroom();
    WorkerPlan plan;
    if (Fits(size, headroom)) {
      plan.is_feasible = true;
    } else {
      plan = PlanOnWorker(headroom, size, options(i));
    }
    if (!plan.is_feasible) continue;
    ++candidates;
    if (best.worker == kNoWorker ||
        std::tie(plan.stops, plan.cost) < std::tie(best.stops, best.cost)) {
      best.runner_up = best.worker;
      best.runner_up_stops = best.stops;
      best.runner_up_cost = best.cost;
      best.worker = i;
      best.victims = std::move(plan.victims);
      best.stops = plan.stops;
      best.cost = plan.cost;
    } else if (best.runner_up == kNoWorker ||
               std::tie(plan.stops, plan.cost) <
                   std::tie(best.runner_up_stops, best.runner_up_cost)) {
      best.runner_up = i;
      best.runner_up_stops = plan.stops;
      best.runner_up_cost = plan.cost;
    }
    if (best.victims.empty()) break;
  }
  return best;
}

}  // namespace pomelomill
