#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/peer/peer_messages.h"
#include "pomelomill/planner/pool_need.h"

namespace pomelomill {

/// Totals of one queue at one entry, since its start and over its window.
struct QueueTotals {
  QueueId queue;
  std::uint64_t arrived = 0;
  /// Mean time that one request occupies a slot; 0 while unknown.
  Duration service_time{};
  /// Over the budget's window.
  std::uint64_t asked = 0;
  std::uint64_t missed = 0;
};

/// Turns the totals of one entry into rates, by exponentially weighted moving
/// averages, and adds up the rates of several entries.
class DemandMeter {
 public:
  /// The mean covers several peaks; the current rate must show a peak that
  /// lasts a few seconds.
  static constexpr Duration kMeanTime = std::chrono::minutes(5);
  static constexpr Duration kCurrentTime = std::chrono::seconds(2);

  /// Takes the totals at `now`. Observations closer than 100 ms to the last
  /// one are ignored.
  void Observe(const std::vector<QueueTotals>& totals, Instant now);

  /// The loads of this entry, rounded to two digits so that small changes
  /// need not be sent.
  std::vector<QueueLoad> Loads() const;

 private:
  struct Rates {
    QueueTotals totals;
    Instant since{};
    Instant at{};
    double mean = 0;
    double current = 0;
  };

  std::map<QueueId, Rates> rates_;
};

/// The demand of each queue over all entries; queues that are not declared are
/// left out. Until the entries have seen the requests of `kMeanTime`, the
/// declared rate has a part in the mean.
std::map<QueueId, QueueDemand> SumDemand(
    const std::vector<std::vector<QueueLoad>>& entries,
    const std::map<QueueId, QueueDeclaration>& queues);

}  // namespace pomelomill
