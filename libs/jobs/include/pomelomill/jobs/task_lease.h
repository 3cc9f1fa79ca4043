#pragma once

#include "pomelomill/base/time.h"
#include "pomelomill/jobs/job_settings.h"

namespace pomelomill {

/// What is known about the lease of one attempt of a task, from the sending
/// side. A call that was sent counts as delivered at the latest possible
/// moment until its response proves otherwise.
class TaskLease {
 public:
  /// A start was sent at `now`.
  void StartSent(Instant now, const LeaseSettings& settings);

  /// A renewal was sent at `now`.
  void RenewSent(Instant now, const LeaseSettings& settings);

  /// From this moment on the worker has ended the task even if every call
  /// arrived as late as possible and both clocks drift as far as allowed.
  Instant certain_expiry() const { return certain_expiry_; }

  /// After this moment no start that was sent can still arrive.
  Instant last_delivery() const { return last_delivery_; }

  bool IsCertainlyExpired(Instant now) const { return now >= certain_expiry_; }

 private:
  Instant certain_expiry_{};
  Instant last_delivery_{};
};

/// Longest time that a lease of `length` on the worker's clock lasts on ours:
/// length * (1 + d) / (1 - d) for two clocks with relative error d.
Duration LongestLease(const LeaseSettings& settings);

}  // namespace pomelomill
