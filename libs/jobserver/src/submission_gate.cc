#include "submission_gate.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

void SubmissionGate::Decide(
    const JobId& job, const QueueConfig& queue, const JobSpec& spec,
    std::function<void(std::optional<Rejection>)> done) {
  const PoolBacklog* const backlog = hooks_.find_backlog(queue.pool);
  if (backlog == nullptr || MayBeStored(job)) return done(std::nullopt);
  const auto demand = DemandOf(spec, backlog->MeanRunTimeOf(queue.id));
  if (!demand) return done(std::nullopt);
  const auto rejection = book_.Decide(
      {.job = job,
       .pool = queue.pool,
       .demand = *demand,
       .policy = queue.policy},
      {.backlog = backlog,
       .entries = std::max<std::size_t>(1, hooks_.count_entries())},
      timers_.Now());
  if (!rejection) return done(std::nullopt);
  hooks_.find_location(
      job, [this, weak = std::weak_ptr<bool>(lifetime_), job, rejection,
            done = std::move(done)](
               const Result<std::optional<JobLocation>>& location) {
        if (weak.expired()) return;
        // When the store does not answer, the acceptor knows what is true.
        const bool is_missing = location && !*location;
        if (is_missing && !MayBeStored(job)) return done(rejection);
        book_.Forget(job);
        done(std::nullopt);
      });
}

void SubmissionGate::OnAnswered(const JobId& job) {
  if (const auto it = submitted_.find(job); it != submitted_.end())
    submitted_.erase(it);
}

}  // namespace pomelomill
