#include "recent_crashes.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

std::vector<LostRun> RecentCrashes::Add(const RackId& rack,
                                        std::vector<LostRun> lost,
                                        Instant now) {
  while (!crashes_.empty() && now - crashes_.front().at > window_)
    crashes_.pop_front();
  crashes_.push_back({now, rack, std::move(lost)});
  const auto is_on_rack = [&](const Crash& it) { return it.rack == rack; };
  const auto n = std::count_if(crashes_.begin(), crashes_.end(), is_on_rack);
  std::vector<LostRun> excused;
  if (n < workers_) return excused;
  for (Crash& it : crashes_) {
    if (!is_on_rack(it)) continue;
    excused.insert(excused.end(), it.lost.begin(), it.lost.end());
    it.lost.clear();
  }
  return excused;
}

}  // namespace pomelomill
