#include "pomelomill/routing/admission.h"

#include <algorithm>

namespace pomelomill {
namespace {

// Slack of a queue with a spent budget counts as this share.
constexpr double kLeastSlackShare = 0.25;

double Priority(const QueueView& queue, Instant now) {
  const double slack = ToSeconds(queue.front_deadline - now);
  const double left = std::clamp(queue.budget_left, 0.0, 1.0);
  return slack * (kLeastSlackShare + (1 - kLeastSlackShare) * left);
}

}  // namespace

std::optional<std::size_t> ChooseQueueToServe(
    const std::vector<QueueView>& queues, Instant now) {
  std::optional<std::size_t> best;
  double best_priority = 0;
  for (std::size_t i = 0; i < queues.size(); ++i) {
    if (queues[i].waiting == 0) continue;
    const double priority = Priority(queues[i], now);
    if (!best || priority < best_priority) {
      best = i;
      best_priority = priority;
    }
  }
  return best;
}

std::optional<std::size_t> ChooseQueueToShed(
    const std::vector<QueueView>& queues) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < queues.size(); ++i) {
    if (queues[i].waiting == 0) continue;
    if (!best || queues[i].budget_left > queues[*best].budget_left) best = i;
  }
  return best;
}

}  // namespace pomelomill
