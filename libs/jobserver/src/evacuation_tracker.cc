#include "evacuation_tracker.h"

#include <memory>
#include <utility>

#include "store_keys.h"

namespace pomelomill {
EvacuationTracker::EvacuationTracker(const TransactionClient& client,
                                     TimerService& timers, PoolId pool,
                                     FencingToken token,
                                     EvacuationTrackerHooks hooks)
    : committer_(client, timers),
      pool_(std::move(pool)),
      token_(token),
      hooks_(std::move(hooks)),
      self_(std::make_shared<EvacuationTracker*>(this)) {}

void EvacuationTracker::Add(const WorkerId& worker,
                            const std::string& request) {
  requests_[worker] = {.id = request};
}

void EvacuationTracker::Remove(const WorkerId& worker) {
  requests_.erase(worker);
}

void EvacuationTracker::ReportEmptyWorkers() {
  for (auto& [worker, request] : requests_) {
    if (request.is_reported || !hooks_.is_empty(worker)) continue;
    request.is_reported = true;
    Transaction transaction;
    transaction.expectations = {{OwnerKey(pool_), Version(token_.value())}};
    transaction.writes = {{EvacuatedKey(pool_, worker), request.id, {}}};
    committer_.Commit(std::move(transaction),
                      [weak = std::weak_ptr<EvacuationTracker*>(self_),
                       worker_id = worker](const Result<CommitResult>& result) {
                        const auto self = weak.lock();
                        if (self != nullptr)
                          (*self)->OnReportFinished(worker_id, result);
                      });
  }
}

void EvacuationTracker::OnReportFinished(const WorkerId& worker,
                                         const Result<CommitResult>& result) {
  const bool is_stored = result && result->is_committed;
  hooks_.on_report_finished(worker, is_stored);
  if (is_stored) return;
  if (const auto it = requests_.find(worker); it != requests_.end())
    it->second.is_reported = false;
  hooks_.on_retry();
}

}  // namespace pomelomill
