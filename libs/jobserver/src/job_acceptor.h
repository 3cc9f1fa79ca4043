#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/dispatch/job_spec.h"
#include "pomelomill/store/transaction_client.h"
#include "store_records.h"

namespace pomelomill {

/// Result of submitting a job.
enum class AcceptOutcome {
  /// The job is stored, by this submission or by an earlier one with its id.
  kAccepted,
  /// The job is not stored and will not be.
  kRefused,
  /// The store did not confirm the commit; the job may already be stored or may
  /// still become stored.
  kUnknown,
};

struct JobAcceptorHooks {
  /// The store became unavailable (false) or available again (true). Optional.
  std::function<void(bool is_up)> on_store_availability;
};

/// Stores submitted jobs, batched into as few transactions as possible. One
/// transaction is in flight at a time; jobs submitted meanwhile share the next.
///
/// After a failed commit the acceptor probes the store with reads. When the
/// first probe fails as well, the store counts as down: jobs that were never
/// sent are refused, and new jobs are refused at once until a probe succeeds. A
/// job whose commit had an unknown outcome is committed again when the store is
/// back. It ends as kUnknown when a later commit is rejected for certain, or
/// when its outcome is still unknown 1.2 s after its submission. A later
/// submission of its id is not refused either, as its first one may stand.
class JobAcceptor {
 public:
  /// `location` is that of the stored job for kAccepted, which an earlier
  /// submission of its id may have brought to another pool, and that of the
  /// submission for other outcomes.
  using Done = std::function<void(AcceptOutcome, const JobLocation& location)>;

  JobAcceptor(const TransactionClient& client, TimerService& timers,
              JobAcceptorHooks hooks = {});
  ~JobAcceptor();
  JobAcceptor(const JobAcceptor&) = delete;
  JobAcceptor& operator=(const JobAcceptor&) = delete;

  /// `done` runs exactly once unless the acceptor is destroyed first. It runs
  /// before Submit() returns, with kRefused, when the store is known to be
  /// down.
  void Submit(const JobId& id, const JobLocation& location,
              std::string encoded_job, Done done);
  /// Whether a submission of the job ended as kUnknown so shortly ago that the
  /// store may still carry its commit out: that the store does not have the job
  /// now proves nothing.
  bool MayBecomeStored(const JobId& job) const;
  /// Number of jobs that wait for a transaction, including those to be
  /// committed again.
  std::size_t pending_jobs() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
