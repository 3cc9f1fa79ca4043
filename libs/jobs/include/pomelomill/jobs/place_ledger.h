#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/jobs/resource_math.h"
#include "pomelomill/platform/platform_client.h"

namespace pomelomill {

using WorkerIndex = std::uint32_t;
inline constexpr WorkerIndex kNoWorker = UINT32_MAX;

/// Number of one reservation; never reused.
using PlaceNumber = StrongNumber<struct PlaceNumberTag>;

/// Room of one worker.
struct WorkerRoom {
  WorkerId id;
  std::uint32_t rack = 0;
  std::uint32_t zone = 0;
  Resources capacity;
  Resources reserved;
  /// Part of `reserved` whose release was asked for.
  Resources leaving;
  /// Room promised to tasks that wait for `leaving`.
  Resources claimed;
  /// Reported usage beyond `reserved`; no task is placed into it.
  Resources excess;
  bool is_listed = true;
  std::vector<PlaceNumber> places;

  /// Room for a task that starts now.
  Resources Free() const { return capacity - reserved - excess; }
  /// Room that is left once all leaving tasks are gone and all claims used.
  Resources Headroom() const { return Free() + leaving - claimed; }
};

/// Workers of one rack, with an upper bound of the room that any of them has.
struct RackRoom {
  std::vector<WorkerIndex> workers;
  Resources most_free;
  bool is_stale = true;
};

/// Reservations of tasks on workers. Each is released exactly once: a second
/// release of the same number has no effect and returns false.
class PlaceLedger {
 public:
  /// Adds the worker or updates its capacity and location.
  WorkerIndex SetWorker(const WorkerRecord& record);

  /// kNoWorker when the worker was never listed.
  WorkerIndex Find(const WorkerId& id) const;

  PlaceNumber Reserve(WorkerIndex worker, const Resources& size);
  bool Release(PlaceNumber place);

  /// Marks all of the reservation as leaving.
  void SetLeaving(PlaceNumber place);
  /// Marks the cores beyond `cores` as leaving.
  void SetShrinking(PlaceNumber place, double cores);
  /// Releases the cores that were marked by SetShrinking.
  void Shrink(PlaceNumber place);

  void Claim(WorkerIndex worker, const Resources& size);
  void Unclaim(WorkerIndex worker, const Resources& size);

  void SetExcess(WorkerIndex worker, const Resources& excess);
  void SetListed(WorkerIndex worker, bool is_listed);

  /// Whether a worker of the rack may have room for a task of this size; false
  /// is certain. Costs one comparison unless the rack has changed.
  bool MayFit(std::uint32_t rack, const Resources& size) const;
  const std::vector<WorkerIndex>& rack_workers(std::uint32_t rack) const {
    return rack_rooms_[rack].workers;
  }

  const std::vector<WorkerRoom>& workers() const { return workers_; }
  const WorkerRoom& worker(WorkerIndex i) const { return workers_[i]; }
  std::uint32_t zones() const {
    return static_cast<std::uint32_t>(zones_.size());
  }
  std::uint32_t racks() const {
    return static_cast<std::uint32_t>(racks_.size());
  }
  /// Capacity of all listed workers.
  Resources Capacity() const;
  std::size_t places() const { return places_.size(); }
  std::uint64_t releases() const { return releases_; }
  std::uint64_t reservations() const { return reservations_; }

 private:
  struct Place {
    WorkerIndex worker = kNoWorker;
    Resources size;
    Resources leaving;
  };

  /// The room for changes; the index of its rack is worked out again.
  WorkerRoom& Change(WorkerIndex worker);

  std::vector<WorkerRoom> workers_;
  /// Brought up to date on demand.
  mutable std::vector<RackRoom> rack_rooms_;
  std::unordered_map<WorkerId, WorkerIndex> by_id_;
  std::map<RackId, std::uint32_t> racks_;
  std::map<ZoneId, std::uint32_t> zones_;
  std::unordered_map<PlaceNumber, Place> places_;
  PlaceNumber last_place_;
  std::uint64_t releases_ = 0;
  std::uint64_t reservations_ = 0;
};

}  // namespace pomelomill
