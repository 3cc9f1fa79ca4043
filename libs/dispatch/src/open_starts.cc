#include "open_starts.h"

#include <algorithm>

namespace pomelomill {

void OpenStarts::Settle(const TaskKey& key, std::uint32_t run, bool is_answered,
                        Instant now) {
  const auto it = starts_.find({key, run});
  if (it == starts_.end()) return;
  if (is_answered) {
    starts_.erase(it);
  } else {
    it->second.until = now + lifetime_;
  }
}

std::vector<OpenStarts::OpenTask> OpenStarts::OpenOn(const WorkerId& worker,
                                                     Instant now) const {
  std::vector<OpenTask> tasks;
  for (const auto& [start, it] : starts_) {
    if (it.worker == worker && it.until > now)
      tasks.push_back({start.first, std::min(it.until, now + lifetime_)});
  }
  return tasks;
}

void OpenStarts::Purge(Instant now) {
  std::erase_if(starts_,
                [&](const auto& it) { return it.second.until <= now; });
}

}  // namespace pomelomill
