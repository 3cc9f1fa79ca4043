#include "pomelomill/routing/admission.h"

#include <algorithm>

namespace pomelomill {
namespace {

// Slack of a queue with a spent budget counts as this share.
constexpr double kMinSlackFactor = 0.25;

double WeightedSlack(const QueueView& queue, Instant now) {
  const double slack = ToSeconds(queue.front_deadline - now);
  const double left = std::clamp(queue.budget_left, 0.0, 1.0);
  return slack * (kMinSlackFactor + (1 - kMinSlackFactor) * left);
}

}  // namespace

std::optional<std::size_t> ChooseQueueToServe(
    const std::vector<QueueView>& queues, Instant now) {
  std::optional<std::size_t> best;
  double best_slack = 0;
  for (std::size_t i = 0; i < queues.size(); ++i) {
    if (queues[i].waiting == 0) continue;
    const double slack = WeightedSlack(queues[i], now);
    if (!best || slack < best_slack) {
      best = i;
      best_slack = slack;
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
