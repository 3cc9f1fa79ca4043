#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/dispatch/job_progress.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

/// The stored progress of one job.
struct StoredProgress {
  JobId job;
  Version version;
  /// Empty when the record is malformed.
  std::optional<JobProgress> progress;
};

struct ProgressReaderHooks {
  std::function<void(StoredProgress)> on_record;
  /// A record is malformed; on_record is called for it as well.
  std::function<void(const std::string& key)> on_bad_record;
  /// All records have been passed on.
  std::function<void()> on_loaded;
};

/// Reads the stored progress of a pool's jobs for a new owner.
class ProgressReader {
 public:
  ProgressReader(const TransactionClient& client, TimerService& timers,
                 PoolId pool, ProgressReaderHooks hooks);
  ~ProgressReader();
  ProgressReader(const ProgressReader&) = delete;
  ProgressReader& operator=(const ProgressReader&) = delete;

  /// Reads all records; retries until it succeeds.
  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
