#pragma once

#include <string>
#include <string_view>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/metrics/metric_registry.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

/// Prometheus metrics of one entry of the job service.
class JobMetrics {
 public:
  /// Counts a line of the event log.
  void CountEvent(std::string_view part, std::string_view event);
  /// Records an answered request of a caller. `queue` is empty when no queue
  /// matched or there is no configuration yet.
  void ObserveRequest(const std::string& queue, const std::string& method,
                      int status, Duration took);
  /// Records a completed call on the store. `kind` is "read", "read_prefix",
  /// "watch" or "commit"; `result` is "ok" or the error message.
  void ObserveStoreCall(const std::string& kind, const std::string& result,
                        Duration took);
  /// Records the start delay of a job or the duration of a run, by `kind`.
  void ObserveJobTime(DispatchTiming kind, const QueueId& queue, Duration took);
  /// Records by how much a timer of this process fired late.
  void ObserveLoopDelay(Duration delay);
  void ObserveDecision(std::string_view decision, Duration took);
  /// Counts an answered request of a workspace's callers.
  void CountWorkspaceRequest(const WorkspaceId& workspace, int status);
  /// Sets the share of a workspace's cap that is stored for a pool.
  void SetWorkspaceShare(const PoolId& pool, const WorkspaceId& workspace,
                         const ResourceAmount& share);
  void SetOwnedPools(std::size_t pools);
  /// Records a submission that was rejected because of the pool's backlog.
  void ObserveRejection(const std::string& queue, const std::string& reason,
                        Duration retry_after);
  /// Sets the drain time of the backlog of a pool as this entry knows it.
  void SetBacklog(const std::string& pool, Duration drain_time);
  /// Memory that open requests and unread responses hold.
  void SetRequestMemory(std::size_t bytes);
  /// Counts a connection that gave way to others.
  void CountDroppedRequest(std::string_view reason);

  /// All metrics in Prometheus text exposition format, version 0.0.4.
  std::string Text() const;

 private:
  MetricRegistry registry_;
};

/// Returns a client that forwards to `inner` and records each call in
/// `metrics`. Watches are counted but not timed, since they wait for changes by
/// design. `metrics` and `timers` must outlive the result.
TransactionClient InstrumentStoreClient(TransactionClient inner,
                                        TimerService& timers,
                                        JobMetrics& metrics);

}  // namespace pomelomill
