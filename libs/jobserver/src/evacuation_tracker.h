#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/ids.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

struct EvacuationTrackerHooks {
  /// Whether nothing runs on the worker and nothing will be started there.
  std::function<bool(const WorkerId&)> is_empty;
  /// A report could not be stored and has to be tried again.
  std::function<void()> on_retry;
  /// The store has answered for a worker.
  std::function<void(const WorkerId&, bool is_stored)> on_report_finished;
};

/// The workers of one pool that the fleet's owner wants to be emptied. Stores
/// for each, once, that it is empty; the answer repeats the request.
class EvacuationTracker {
 public:
  /// `client` must outlive this object.
  EvacuationTracker(const TransactionClient& client, PoolId pool,
                    FencingToken token, EvacuationTrackerHooks hooks);

  void Add(const WorkerId& worker, const std::string& request);
  void Remove(const WorkerId& worker);
  /// Reports the workers that have become empty.
  void ReportEmptyWorkers();

 private:
  struct Request {
    std::string id;
    bool is_reported = false;
  };

  void OnReportFinished(const WorkerId& worker,
                        const Result<CommitResult>& result);

  const TransactionClient& client_;
  const PoolId pool_;
  const FencingToken token_;
  const EvacuationTrackerHooks hooks_;
  std::map<WorkerId, Request> requests_;
  /// Tells answers that arrive after the end of this object.
  std::shared_ptr<EvacuationTracker*> self_;
};

}  // namespace pomelomill
