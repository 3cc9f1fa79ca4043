#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/ids.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/adaptive_committer.h"

namespace pomelomill {

struct EvacuationTrackerHooks {
  /// Whether nothing runs on the worker and nothing will be started there.
  std::function<bool(const WorkerId&)> is_empty;
  /// A report could not be stored; ReportEmptyWorkers() must be called again.
  std::function<void()> on_retry;
  /// The store call for a worker's report has ended.
  std::function<void(const WorkerId&, bool is_stored)> on_report_finished;
};

/// Workers of one pool that the fleet's owner has asked to be emptied. Stores
/// once for each request that the worker is empty.
class EvacuationTracker {
 public:
  /// `client` and `timers` must outlive this object.
  EvacuationTracker(const TransactionClient& client, TimerService& timers,
                    PoolId pool, FencingToken token,
                    EvacuationTrackerHooks hooks);

  /// `request` is the id of the request; the report repeats it.
  void Add(const WorkerId& worker, const std::string& request);
  void Remove(const WorkerId& worker);
  /// Stores a report for each worker that has become empty.
  void ReportEmptyWorkers();

 private:
  struct Request {
    std::string id;
    bool is_reported = false;
  };

  void OnReportFinished(const WorkerId& worker,
                        const Result<CommitResult>& result);

  AdaptiveCommitter committer_;
  const PoolId pool_;
  const FencingToken token_;
  const EvacuationTrackerHooks hooks_;
  std::map<WorkerId, Request> requests_;
  /// Expires with this object, so that store calls that end later are ignored.
  std::shared_ptr<EvacuationTracker*> self_;
};

}  // namespace pomelomill
