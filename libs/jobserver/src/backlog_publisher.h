#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/dispatch/backlog.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

struct BacklogPublisherHooks {
  /// Returns the backlog of the pool; nullopt when it is not known.
  std::function<std::optional<PoolBacklog>()> estimate;
  /// Whether the pool is certainly owned.
  std::function<bool()> may_publish;
  /// A write has ended; `delay` is the drain time, 0 for no backlog.
  std::function<void(Duration delay, const Status& result)> on_published;
};

/// Stores the backlog of one pool for all entries: at most every 200 ms, and
/// only when it has changed by more than a quarter, begins or ends. Without a
/// backlog there is no record. Each write is conditional on the owner key and
/// on the version of the record, so that a late write changes nothing.
class BacklogPublisher {
 public:
  /// `client` and `timers` must outlive this object.
  BacklogPublisher(const TransactionClient& client, TimerService& timers,
                   PoolId pool, FencingToken token, LeaseId lease,
                   BacklogPublisherHooks hooks);
  ~BacklogPublisher();
  BacklogPublisher(const BacklogPublisher&) = delete;
  BacklogPublisher& operator=(const BacklogPublisher&) = delete;

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
