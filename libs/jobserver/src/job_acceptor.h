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

enum class AcceptOutcome {
  /// Stored now, or by an earlier request with the same id.
  kAccepted,
  /// Certainly not stored.
  kRefused,
  /// The store did not say; the job may be or become stored.
  kUnknown,
};

struct JobAcceptorHooks {
  /// The store went away, or is back. Optional.
  std::function<void(bool is_up)> on_store_availability;
};

/// Stores accepted jobs, as many in one transaction as fit. One transaction
/// is under way at a time; jobs that arrive meanwhile share the next one.
///
/// After a failure the store is asked with a read until it answers. Jobs that
/// were not sent are refused once such a read fails too, and new ones are then
/// refused at once. A job whose outcome is unknown is tried again when the
/// store answers, and given up after a while.
class JobAcceptor {
 public:
  using Done = std::function<void(AcceptOutcome)>;

  JobAcceptor(const TransactionClient& client, TimerService& timers,
              JobAcceptorHooks hooks = {});
  ~JobAcceptor();
  JobAcceptor(const JobAcceptor&) = delete;
  JobAcceptor& operator=(const JobAcceptor&) = delete;

  /// `done` runs exactly once, unless the batch is destroyed; at once when the
  /// store is known to be away.
  void Submit(const JobId& id, const JobLocation& location, std::string encoded_job,
           Done done);
  std::size_t pending_jobs() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
