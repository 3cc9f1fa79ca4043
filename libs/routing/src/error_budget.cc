#include "pomelomill/routing/error_budget.h"

#include <algorithm>

namespace pomelomill {

ErrorBudget::ErrorBudget(double availability, Duration window,
                         double expected_requests)
    : availability_(availability),
      bucket_width_(std::max(Duration(1), window / static_cast<int>(kBuckets))),
      expected_requests_(expected_requests) {
  bucket_numbers_.fill(-1);
}

std::int64_t ErrorBudget::BucketAt(Instant now) const {
  return now.time_since_epoch() / bucket_width_;
}

void ErrorBudget::Record(bool was_answered_in_time, Instant now) {
  const std::int64_t bucket = BucketAt(now);
  const auto index = static_cast<std::size_t>(bucket) % kBuckets;
  if (bucket_numbers_[index] != bucket) {
    bucket_numbers_[index] = bucket;
    counts_[index] = {};
  }
  if (latest_bucket_ != bucket) {
    latest_bucket_ = bucket;
    latest_sum_ = Sum(bucket);
  }
  ++counts_[index].requests;
  ++latest_sum_.requests;
  if (!was_answered_in_time) return;
  ++counts_[index].answered_in_time;
  ++latest_sum_.answered_in_time;
}

RequestCounts ErrorBudget::Counts(Instant now) const {
  const std::int64_t bucket = BucketAt(now);
  return bucket == latest_bucket_ ? latest_sum_ : Sum(bucket);
}

RequestCounts ErrorBudget::Sum(std::int64_t bucket) const {
  RequestCounts sum;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    if (bucket_numbers_[i] < 0 ||
        bucket_numbers_[i] <= bucket - static_cast<std::int64_t>(kBuckets))
      continue;
    sum.requests += counts_[i].requests;
    sum.answered_in_time += counts_[i].answered_in_time;
  }
  return sum;
}

double ErrorBudget::RemainingShare(Instant now) const {
  const RequestCounts sum = Counts(now);
  const double allowed =
      (1 - availability_) *
      std::max(static_cast<double>(sum.requests), expected_requests_);
  const auto missed = static_cast<double>(sum.requests - sum.answered_in_time);
  if (missed == 0) return 1;
  return 1 - missed / std::max(allowed, 1e-9);
}

}  // namespace pomelomill
