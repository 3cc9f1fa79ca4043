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
  /// All batches up to the number are stored.
  std::function<void(std::uint64_t)> on_stored;
  /// The owner key belongs to somebody else.
  std::function<void()> on_lost;
  std::function<void(std::error_code)> on_retry;
};

/// Stores batches of progress one after the other, each write under the
/// condition that the pool still has this owner and that the key is as this
/// owner left it: a write that the store carries out late changes nothing.
class ProgressWriter {
 public:
  ProgressWriter(const TransactionClient& client, TimerService& timers,
                 PoolId pool, FencingToken token, ProgressWriterHooks hooks);
  ~ProgressWriter();
  ProgressWriter(const ProgressWriter&) = delete;
  ProgressWriter& operator=(const ProgressWriter&) = delete;

  /// A progress that was in the store before.
  void SetStoredVersion(const JobId& job, Version version);
  bool is_idle() const;
  /// Call only when idle.
  void Write(const ProgressBatch& batch);
  /// Removes all keys of jobs whose time is over; failures are left to the
  /// next owner, which loads and forgets them again.
  void Remove(const std::vector<JobId>& jobs);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
