#pragma once

#include <string>
#include <string_view>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/metrics/metric_registry.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

/// Counters and latency histograms of one entry of the job service.
class JobMetrics {
 public:
  void CountEvent(std::string_view part, std::string_view event);
  /// A caller's request; `queue` is empty when none was found.
  void ObserveRequest(const std::string& queue, const std::string& kind,
                      int status, Duration took);
  void ObserveStoreCall(const std::string& kind, const std::string& result,
                        Duration took);
  void ObserveJobTime(DispatchTime kind, const QueueId& queue, Duration took);
  /// How late a timer of this process ran.
  void ObserveLoopDelay(Duration delay);
  void ObserveDecision(std::string_view decision, Duration took);
  void SetOwnedPools(std::size_t pools);

  /// Prometheus text exposition format, version 0.0.4.
  std::string Text() const;

 private:
  MetricRegistry registry_;
};

/// `inner` with each call counted and timed; watches are not timed, since
/// they wait. `metrics` and `timers` must outlive the result.
TransactionClient InstrumentStoreClient(TransactionClient inner, TimerService& timers,
                           JobMetrics& metrics);

}  // namespace pomelomill
