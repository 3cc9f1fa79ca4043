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

/// Why a request ended before the router took it.
enum class EarlyEndReason {
  /// Method, deadline or key cannot be used, or the queue is not declared.
  kBadRequest,
  /// The entry is stopping.
  kStopping,
  /// The key was accepted before or cannot be claimed.
  kKey,
  /// The caller gave up.
  kCancelled,
};

/// Counts requests by queue, team, outcome and reason, and measures the time
/// of answered ones. Use from one thread.
class RequestMetrics {
 public:
  /// Beyond this number of pairs of queue and team, further pairs count as
  /// "other": teams and queues that were declared once stay in memory.
  static constexpr std::size_t kMaxPairs = 1024;

  RequestMetrics();

  class Series;

  /// The series of a request; a queue or team that is not declared counts as
  /// "other", a request without a team as "none". Valid for the lifetime of
  /// this object.
  Series& SeriesFor(const QueueId& queue, const TeamId& team,
                    const Declarations& declarations);

  /// A copy for another thread.
  std::shared_ptr<const MetricRegistry> Snapshot() const {
    return registry_.Snapshot();
  }

  class Series {
   public:
    void RecordEnd(Outcome outcome, OutcomeReason reason, Duration duration);
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
    /// Created at their first use, to keep the page short.
    std::array<std::array<Counter*, kReasons>, kOutcomes> counters_{};
  };

 private:
  MetricRegistry registry_;
  std::map<std::pair<QueueId, TeamId>, Series> series_;
};

}  // namespace pomelomill
