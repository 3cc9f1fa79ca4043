#include "pomelomill/routing/deadline_queue.h"

#include <iterator>

namespace pomelomill {

bool DeadlineQueue::Push(RequestId request, Instant deadline) {
  if (items_.size() >= capacity_) return false;
  items_.emplace(deadline, request);
  return true;
}

bool DeadlineQueue::Erase(RequestId request, Instant deadline) {
  return items_.erase({deadline, request}) > 0;
}

std::optional<RequestId> DeadlineQueue::Front() const {
  if (items_.empty()) return std::nullopt;
  return items_.begin()->second;
}

std::optional<RequestId> DeadlineQueue::Back() const {
  if (items_.empty()) return std::nullopt;
  return std::prev(items_.end())->second;
}

std::size_t DeadlineQueue::CountUpTo(Instant deadline) const {
  // Most arrivals have the latest deadline of their queue; the first two checks
  // answer this case without a linear scan.
  if (items_.empty() || items_.begin()->first > deadline) return 0;
  if (std::prev(items_.end())->first <= deadline) return items_.size();
  std::size_t n = 0;
  for (auto it = items_.begin(); it->first <= deadline; ++it) ++n;
  return n;
}

std::optional<RequestId> DeadlineQueue::LastUpTo(Instant deadline) const {
  auto it = items_.upper_bound({deadline, RequestId(UINT64_MAX)});
  if (it == items_.begin()) return std::nullopt;
  return std::prev(it)->second;
}

}  // namespace pomelomill
