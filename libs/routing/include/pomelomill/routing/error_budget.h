#pragma once

#include <array>
#include <cstdint>

#include "pomelomill/base.h"

namespace pomelomill {

/// Counts of one queue over its window.
struct RequestCounts {
  std::uint64_t requests = 0;
  /// Answered completely within the deadline.
  std::uint64_t answered_in_time = 0;

  bool operator==(const RequestCounts&) const = default;
};

/// Availability budget of one queue: requests that were asked and requests
/// that were answered within the deadline, over a sliding window. The window
/// moves in steps of a sixtieth.
class ErrorBudget {
 public:
  static constexpr std::size_t kBuckets = 60;

  /// `expected_asked` is the number of requests that the window holds at the
  /// declared mean rate; it keeps one miss at the start of a window from
  /// counting as a spent budget.
  ErrorBudget(double availability, Duration window, double expected_requests);

  void Record(bool was_answered_in_time, Instant now);

  RequestCounts Counts(Instant now) const;

  /// Share of the allowed misses that is left: 1 when none was used, 0 when
  /// all were, negative beyond.
  double RemainingShare(Instant now) const;

 private:
  std::int64_t BucketAt(Instant now) const;
  RequestCounts Sum(std::int64_t bucket) const;

  double availability_;
  Duration bucket_width_;
  double expected_requests_;
  std::array<RequestCounts, kBuckets> counts_{};
  /// Step number that each slot of `counts_` holds.
  std::array<std::int64_t, kBuckets> bucket_numbers_{};
  /// Sum over the window that ends with the step of the latest record; each
  /// request reads it several times.
  RequestCounts latest_sum_;
  std::int64_t latest_bucket_ = -1;
};

}  // namespace pomelomill
