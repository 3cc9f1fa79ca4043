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
  last_delivery_ = std::max(last_delivery_, now + settings.max_delivery);
  RenewSent(now, settings);
}

void TaskLease::RenewSent(Instant now, const LeaseSettings& settings) {
  certain_expiry_ = std::max(
      certain_expiry_, now + settings.max_delivery + LongestLease(settings));
}

}  // namespace pomelomill
