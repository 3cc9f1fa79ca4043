#pragma once

#include "pomelomill/base/time.h"
#include "pomelomill/jobs/job_settings.h"

namespace pomelomill {

/// What is known about the lease of one attempt of a task, from the sending
/// side. A call may be sent long after it was decided, when the process is
/// paused in between. While a call is open, nothing about it is certain; after
/// its end it counts as delivered at the latest possible moment.
class TaskLease {
 public:
  /// A start was decided at `now`; its call is open until StartEnded().
  void StartSent(Instant now, const LeaseSettings& settings);

  /// The call of the start has ended. It was sent at `sent_by` at the latest.
  void StartEnded(Instant sent_by, const LeaseSettings& settings);

  /// A renewal was decided at `now`; its call is open until RenewEnded().
  void RenewSent(Instant now, const LeaseSettings& settings);

  /// The call of one renewal has ended; it was sent at `sent_by` at the latest.
  /// `is_last` tells that no other renewal is open.
  void RenewEnded(Instant sent_by, bool is_last, const LeaseSettings& settings);

  /// The task was seen running at `now`, under a lease of any earlier call.
  void Seen(Instant now, const LeaseSettings& settings);

  /// The clock may have jumped to `now`: nothing counts as passed before it.
  void CountAgain(Instant now, const LeaseSettings& settings);

  bool has_open_call() const { return is_start_open_ || is_renewal_open_; }

  /// From this moment on the worker has ended the task even if every call
  /// arrived as late as possible and both clocks drift as far as allowed.
  Instant certain_expiry() const { return certain_expiry_; }

  /// After this moment no start that was sent can still arrive, unless its
  /// call is open.
  Instant last_delivery() const { return last_delivery_; }

  bool IsDeliveryOver(Instant now) const {
    return !is_start_open_ && now >= last_delivery_;
  }
  bool IsCertainlyExpired(Instant now) const {
    return !has_open_call() && now >= certain_expiry_;
  }

 private:
  void ExtendExpiry(Instant sent_by, const LeaseSettings& settings);

  Instant certain_expiry_{};
  Instant last_delivery_{};
  bool is_start_open_ = false;
  bool is_renewal_open_ = false;
};

/// Longest time that a lease of `length` on the worker's clock lasts on ours:
/// length * (1 + d) / (1 - d) for two clocks with relative error d.
Duration LongestLease(const LeaseSettings& settings);

}  // namespace pomelomill
