#include "pomelomill/routing/admission.h"

#include <algorithm>

namespace pomelomill {
namespace {

// Factor by which the slack of a queue with an exhausted error budget is
// scaled.
constexpr double kMinSlackFactor = 0.25;

/// Returns the time until the front deadline, scaled down as the error budget
/// runs out; the queue with the smallest value is served first.
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
