#include "pomelomill/jobs/task_lease.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {

Duration LongestLease(const LeaseSettings& settings) {
  const double d = settings.max_drift;
  const double ns =
      static_cast<double>(settings.length.count()) * (1 + d) / (1 - d);
  return Duration(static_cast<Duration::rep>(std::ceil(ns)));
}

void TaskLease::StartSent(Instant now, const LeaseSettings& settings) {
  is_start_open_ = true;
  last_delivery_ = std::max(last_delivery_, now + settings.max_delivery);
  ExtendExpiry(now, settings);
}

void TaskLease::StartEnded(Instant sent_by, const LeaseSettings& settings) {
  is_start_open_ = false;
  last_delivery_ = std::max(last_delivery_, sent_by + settings.max_delivery);
  ExtendExpiry(sent_by, settings);
}

void TaskLease::RenewSent(Instant now, const LeaseSettings& settings) {
  is_renewal_open_ = true;
  ExtendExpiry(now, settings);
}

void TaskLease::RenewEnded(Instant sent_by, bool is_last,
                           const LeaseSettings& settings) {
  if (!is_renewal_open_) return;
  is_renewal_open_ = !is_last;
  ExtendExpiry(sent_by, settings);
}

void TaskLease::Seen(Instant now, const LeaseSettings& settings) {
  ExtendExpiry(now, settings);
}

void TaskLease::CountAgain(Instant now, const LeaseSettings& settings) {
  last_delivery_ = std::max(last_delivery_, now + settings.max_delivery);
  ExtendExpiry(now, settings);
}

void TaskLease::ExtendExpiry(Instant sent_by, const LeaseSettings& settings) {
  certain_expiry_ = std::max(certain_expiry_, sent_by + settings.max_delivery +
                                                  LongestLease(settings));
}

}  // namespace pomelomill
