#pragma once

#include <array>
#include <cstdint>

#include "pomelomill/base.h"

namespace pomelomill {

/// Requests of one queue within its budget window.
struct RequestCounts {
  std::uint64_t requests = 0;
  /// Requests with a complete response within the deadline.
  std::uint64_t answered_in_time = 0;

  bool operator==(const RequestCounts&) const = default;
};

/// Error budget of one queue: the number of requests that may miss their
/// deadline within a sliding window while the queue meets its declared
/// availability. The window advances in buckets of one sixtieth of its length.
class ErrorBudget {
 public:
  static constexpr std::size_t kBuckets = 60;

  /// `availability` is the share of requests, 0 to 1, that must be answered in
  /// time. `expected_requests` is the number of requests in one window at the
  /// declared mean rate; it is the minimum base of the budget, so that a
  /// single miss at the start of a window does not exhaust the budget.
  ErrorBudget(double availability, Duration window, double expected_requests);

  /// Counts a finished request.
  void Record(bool was_answered_in_time, Instant now);

  /// Returns the counts over the window that ends at `now`.
  RequestCounts Counts(Instant now) const;

  /// Returns the share of the allowed misses that remains: 1 when there was no
  /// miss, 0 when the budget is used up, negative when it is exceeded.
  double RemainingShare(Instant now) const;

 private:
  std::int64_t BucketAt(Instant now) const;
  RequestCounts Sum(std::int64_t bucket) const;

  double availability_;
  Duration bucket_width_;
  double expected_requests_;
  std::array<RequestCounts, kBuckets> counts_{};
  /// Number of the bucket that each element of `counts_` holds; -1 if none.
  std::array<std::int64_t, kBuckets> bucket_numbers_{};
  /// Sum over the window that ends with `latest_bucket_`, kept because it is
  /// read several times per request.
  RequestCounts latest_sum_;
  /// Bucket of the latest record; -1 before the first one.
  std::int64_t latest_bucket_ = -1;
};

}  // namespace pomelomill
