#include "pomelomill/jobs/placement.h"

#include <algorithm>

namespace pomelomill {
namespace {

constexpr double kZoneWeight = 4;
constexpr double kRackWeight = 2;

std::uint16_t CountAt(const std::vector<std::uint16_t>& counts,
                      std::uint32_t i) {
  return i < counts.size() ? counts[i] : std::uint16_t{0};
}

double LeftOver(const Resources& free, const Resources& size,
                const Resources& capacity) {
  double least = 1;
  const auto consider = [&](double left, double whole) {
    if (whole > 0) least = std::min(least, left / whole);
  };
  consider(free.cores - size.cores, capacity.cores);
  consider(free.memory_mb - size.memory_mb, capacity.memory_mb);
  if (size.accelerators > 0)
    consider(free.accelerators - size.accelerators, capacity.accelerators);
  // Accelerators are scarce; work without need for them goes elsewhere.
  if (size.accelerators <= 0 && free.accelerators > 0) least += 1;
  return least;
}

}  // namespace

void JobSpread::Add(const WorkerRoom& worker) {
  if (racks.size() <= worker.rack) racks.resize(worker.rack + 1);
  if (zones.size() <= worker.zone) zones.resize(worker.zone + 1);
  ++racks[worker.rack];
  ++zones[worker.zone];
  ++tasks;
}

void JobSpread::Remove(const WorkerRoom& worker) {
  if (CountAt(racks, worker.rack) > 0) --racks[worker.rack];
  if (CountAt(zones, worker.zone) > 0) --zones[worker.zone];
  if (tasks > 0) --tasks;
}

PlacementChoice ChoosePlacement(
    const PlaceLedger& ledger, const Resources& size, const JobSpread& spread,
    const std::function<bool(WorkerIndex)>& is_allowed) {
  PlacementChoice best;
  const double n = std::max(1U, spread.tasks);
  const auto consider = [&](WorkerIndex i) {
    const WorkerRoom& room = ledger.worker(i);
    if (!room.is_listed) return;
    const Resources free = room.Free();
    if (!Fits(size, free) || !Fits(size, room.Headroom())) return;
    const double score = kZoneWeight * CountAt(spread.zones, room.zone) / n +
                         kRackWeight * CountAt(spread.racks, room.rack) / n +
                         LeftOver(free, size, room.capacity);
    if (best.runner_up != kNoWorker && score >= best.runner_up_score) return;
    if (!is_allowed(i)) return;
    if (best.worker == kNoWorker || score < best.score) {
      best.runner_up = best.worker;
      best.runner_up_score = best.score;
      best.worker = i;
      best.score = score;
    } else {
      best.runner_up = i;
      best.runner_up_score = score;
    }
  };
  for (std::uint32_t rack = 0; rack < ledger.racks(); ++rack) {
    // No worker of the rack can score better than its share of the job.
    const double least = kRackWeight * CountAt(spread.racks, rack) / n;
    if (best.runner_up != kNoWorker && least >= best.runner_up_score) continue;
    if (!ledger.MayFit(rack, size)) continue;
    for (const WorkerIndex i : ledger.rack_workers(rack)) consider(i);
  }
  return best;
}

}  // namespace pomelomill
