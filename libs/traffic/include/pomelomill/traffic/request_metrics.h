#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/metrics/metric_registry.h"
#include "pomelomill/routing/actions.h"

namespace pomelomill {

/// Why a request ended without an outcome from the router.
enum class EarlyEndReason {
  /// The method, deadline or key is invalid, or the queue is not declared.
  kBadRequest,
  /// The entry is stopping and takes no new requests.
  kStopping,
  /// The idempotency key was used before or cannot be claimed.
  kKey,
  /// The caller closed its connection before the response.
  kCancelled,
};

/// Counts requests by queue, team, outcome and reason, and measures the
/// duration of answered requests. Not thread-safe.
class RequestMetrics {
 public:
  /// Maximum number of series. Further pairs of queue and team are counted as
  /// "other", because the series of a queue or team stays in memory after its
  /// declaration was removed.
  static constexpr std::size_t kMaxPairs = 1024;

  RequestMetrics();

  class Series;

  /// Returns the series of a queue and team. A queue or team that is not
  /// declared is labelled "other", an empty team "none". The reference is valid
  /// for the lifetime of this object.
  Series& SeriesFor(const QueueId& queue, const TeamId& team,
                    const Declarations& declarations);

  /// Returns a copy that other threads may read.
  std::shared_ptr<const MetricRegistry> Snapshot() const {
    return registry_.Snapshot();
  }

  /// Metrics of one pair of queue and team.
  class Series {
   public:
    /// Records a request that the router has ended; `duration` is the time
    /// since its arrival.
    void RecordEnd(Outcome outcome, OutcomeReason reason, Duration duration);
    /// Records a request that ended without the router; no outcome means that
    /// it was cancelled.
    void RecordEarlyEnd(std::optional<Outcome> outcome, EarlyEndReason reason);

   private:
    friend class RequestMetrics;
    Series(MetricRegistry& registry, std::string queue, std::string team);
    void Count(std::size_t outcome, std::size_t reason);

    static constexpr std::size_t kOutcomes = 4;
    static constexpr std::size_t kReasons = 14;

    MetricRegistry& registry_;
    std::string queue_;
    std::string team_;
    TimeHistogram& seconds_;
    /// Created at their first use, which keeps unused series off the metrics
    /// page.
    std::array<std::array<Counter*, kReasons>, kOutcomes> counters_{};
  };

 private:
  MetricRegistry registry_;
  std::map<std::pair<QueueId, TeamId>, Series> series_;
};

}  // namespace pomelomill
