#include "pomelomill/jobs/place_ledger.h"

#include <algorithm>

namespace pomelomill {

WorkerIndex PlaceLedger::SetWorker(const WorkerRecord& record) {
  const auto [it, is_new] =
      by_id_.try_emplace(record.id, static_cast<WorkerIndex>(workers_.size()));
  if (is_new) {
    workers_.emplace_back();
    workers_.back().id = record.id;
  }
  WorkerRoom& room = workers_[it->second];
  const std::uint32_t old_rack = room.rack;
  room.rack =
      racks_.try_emplace(record.rack, static_cast<std::uint32_t>(racks_.size()))
          .first->second;
  room.zone =
      zones_.try_emplace(record.zone, static_cast<std::uint32_t>(zones_.size()))
          .first->second;
  room.capacity = record.capacity;
  rack_rooms_.resize(racks_.size());
  if (is_new || old_rack != room.rack) {
    if (!is_new) {
      rack_rooms_[old_rack].is_stale = true;
      std::erase(rack_rooms_[old_rack].workers, it->second);
    }
    rack_rooms_[room.rack].workers.push_back(it->second);
  }
  Change(it->second);
  return it->second;
}

WorkerRoom& PlaceLedger::Change(WorkerIndex worker) {
  WorkerRoom& room = workers_[worker];
  rack_rooms_[room.rack].is_stale = true;
  return room;
}

bool PlaceLedger::MayFit(std::uint32_t rack, const Resources& size) const {
  RackRoom& index = rack_rooms_[rack];
  if (index.is_stale) {
    index.is_stale = false;
    index.most_free = {-1, -1, -1};
    for (const WorkerIndex w : index.workers) {
      const WorkerRoom& room = workers_[w];
      if (!room.is_listed) continue;
      const Resources free = room.Free();
      const Resources headroom = room.Headroom();
      Resources& most = index.most_free;
      most.cores = std::max(most.cores, std::min(free.cores, headroom.cores));
      most.memory_mb = std::max(most.memory_mb,
                                std::min(free.memory_mb, headroom.memory_mb));
      most.accelerators =
          std::max(most.accelerators,
                   std::min(free.accelerators, headroom.accelerators));
    }
  }
  return Fits(size, index.most_free);
}

WorkerIndex PlaceLedger::Find(const WorkerId& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? kNoWorker : it->second;
}

PlaceNumber PlaceLedger::Reserve(WorkerIndex worker, const Resources& size) {
  last_place_ = last_place_.Next();
  places_.emplace(last_place_, Place{worker, size, {}});
  WorkerRoom& room = Change(worker);
  room.reserved = room.reserved + size;
  room.places.push_back(last_place_);
  ++reservations_;
  return last_place_;
}

bool PlaceLedger::Release(PlaceNumber place) {
  const auto it = places_.find(place);
  if (it == places_.end()) return false;
  WorkerRoom& room = Change(it->second.worker);
  // The excess is that of all tasks together; the leaving one takes its share.
  const auto keep = [](double left, double whole) {
    return whole > 0 && left > 0 ? left / whole : 0.0;
  };
  const Resources left = room.reserved - it->second.size;
  room.excess.cores *= keep(left.cores, room.reserved.cores);
  room.excess.memory_mb *= keep(left.memory_mb, room.reserved.memory_mb);
  room.excess.accelerators *=
      keep(left.accelerators, room.reserved.accelerators);
  room.reserved = left;
  room.leaving = room.leaving - it->second.leaving;
  room.places.erase(std::find(room.places.begin(), room.places.end(), place));
  // Sums of doubles drift; an empty worker is a chance to correct them.
  if (room.places.empty()) room.reserved = room.leaving = {};
  places_.erase(it);
  ++releases_;
  return true;
}

void PlaceLedger::SetLeaving(PlaceNumber place) {
  const auto it = places_.find(place);
  if (it == places_.end()) return;
  WorkerRoom& room = Change(it->second.worker);
  room.leaving = room.leaving - it->second.leaving + it->second.size;
  it->second.leaving = it->second.size;
}

void PlaceLedger::SetShrinking(PlaceNumber place, double cores) {
  const auto it = places_.find(place);
  if (it == places_.end()) return;
  const Resources part{std::max(0.0, it->second.size.cores - cores), 0, 0};
  WorkerRoom& room = Change(it->second.worker);
  room.leaving = room.leaving - it->second.leaving + part;
  it->second.leaving = part;
}

void PlaceLedger::Shrink(PlaceNumber place) {
  const auto it = places_.find(place);
  if (it == places_.end()) return;
  WorkerRoom& room = Change(it->second.worker);
  const Resources part{it->second.leaving.cores, 0, 0};
  room.reserved = room.reserved - part;
  room.leaving = room.leaving - part;
  it->second.size = it->second.size - part;
  it->second.leaving = it->second.leaving - part;
}

void PlaceLedger::Claim(WorkerIndex worker, const Resources& size) {
  WorkerRoom& room = Change(worker);
  room.claimed = room.claimed + size;
}

void PlaceLedger::Unclaim(WorkerIndex worker, const Resources& size) {
  WorkerRoom& room = Change(worker);
  room.claimed = room.claimed - size;
}

void PlaceLedger::SetExcess(WorkerIndex worker, const Resources& excess) {
  Change(worker).excess = excess;
}

void PlaceLedger::SetListed(WorkerIndex worker, bool is_listed) {
  Change(worker).is_listed = is_listed;
}

Resources PlaceLedger::Capacity() const {
  Resources sum;
  for (const WorkerRoom& it : workers_)
    if (it.is_listed) sum = sum + it.capacity;
  return sum;
}

}  // namespace pomelomill
