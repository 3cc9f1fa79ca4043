#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

struct ProgressWriterHooks {
  /// All batches up to this number are stored.
  std::function<void(std::uint64_t)> on_stored;
  /// A transaction that was conditional on the pool's owner is stored.
  std::function<void(Version)> on_committed;
  /// The pool has another owner.
  std::function<void()> on_lost;
  /// A write failed and will be retried, or the store call of a removal failed,
  /// which is not retried.
  std::function<void(std::error_code)> on_retry;
};

/// Stores batches of job progress one after the other. Each write is
/// conditional on the pool's owner and on the version of the key that this
/// owner last read or wrote, so that a write that the store carries out late
/// changes nothing.
class ProgressWriter {
 public:
  ProgressWriter(const TransactionClient& client, TimerService& timers,
                 PoolId pool, FencingToken token, ProgressWriterHooks hooks);
  ~ProgressWriter();
  ProgressWriter(const ProgressWriter&) = delete;
  ProgressWriter& operator=(const ProgressWriter&) = delete;

  /// Sets the version of a progress record that has been read from the store.
  void SetStoredVersion(const JobId& job, Version version);
  /// Whether no batch is being written.
  bool is_idle() const;
  /// Must be called only while is_idle().
  void Write(const ProgressBatch& batch);
  /// Removes all keys of jobs past their retention time. Failed removals are
  /// not retried: the next owner loads these jobs and removes them.
  void Remove(const std::vector<JobId>& jobs);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
